use {
    super::store_relays::StoreRelays,
    async_trait::async_trait,
    chalkcart_coordination::{
        relay::{DirectCallPacing, RelayPacing},
        watch::WatchTimes,
    },
    chalkcart_protocol::{
        peer::{path, PublishedRequest, PublishedResponse},
        wire::WireVersion,
    },
    chalkcart_state::published::Topic,
    chalkcart_transport::{
        client::PeerClient,
        clock,
        metadata::{MetadataSource, SourceError, WatchOutcome, WatchUpdate},
    },
    std::{
        future::Future,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex, MutexGuard,
        },
        time::{Duration, Instant},
    },
};

/// Maximum time that a relay may hold a watch call, which bounds the time to notice that the relay
/// is unreachable.
const MAX_RELAY_HOLD: Duration = Duration::from_millis(1_000);
/// Time for the response of a relay in addition to the time that it holds the call.
const RELAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Wire versions from which on a relay forwards all records of a topic that this build reads.
const CONFIGURATION_MIN_VERSION: WireVersion = WireVersion(5);
const BACKENDS_MIN_VERSION: WireVersion = WireVersion(4);

/// The outcome of a call to a relay.
enum RelayResult {
    Received(WatchOutcome),
    /// The relay has no recent state of the store, or is of an older build.
    Stale,
    NoResponse,
}

/// Reads the platform's store through a relay of the zone, or directly while no relay has a recent
/// state of the store.
pub struct ZoneSource {
    store: Arc<dyn MetadataSource>,
    relays: Arc<StoreRelays>,
    peers: PeerClient,
    /// Whether the last update came from a relay.
    is_relayed: AtomicBool,
    configuration_calls: Mutex<DirectCallPacing>,
    backends_calls: Mutex<DirectCallPacing>,
}

impl ZoneSource {
    pub fn new(
        store: Arc<dyn MetadataSource>,
        relays: Arc<StoreRelays>,
        relay_pacing: RelayPacing,
    ) -> Self {
        let pacing = || Mutex::new(DirectCallPacing::new(relay_pacing.direct_call_pause()));
        Self {
            configuration_calls: pacing(),
            backends_calls: pacing(),
            store,
            relays,
            peers: PeerClient::new(),
            is_relayed: AtomicBool::new(false),
        }
    }

    pub fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    fn direct_calls(&self, topic: Topic) -> MutexGuard<'_, DirectCallPacing> {
        let calls = match topic {
            Topic::Configuration => &self.configuration_calls,
            Topic::Backends => &self.backends_calls,
        };
        // No holder panics in the middle of an update.
        calls.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Calls the store directly, unless the last call failed and a relay is still trying.
    async fn call_store<A>(
        &self,
        topic: Topic,
        call: impl Future<Output = Result<A, SourceError>>,
    ) -> Result<A, SourceError> {
        let has_relay = !self.relays.is_empty();
        if has_relay && !self.direct_calls(topic).may_call(clock::now()) {
            return Err(SourceError::LeftToRelay);
        }
        let result = call.await;
        match &result {
            Ok(_) => self.direct_calls(topic).on_success(),
            Err(_) => self.direct_calls(topic).on_failure(clock::now()),
        }
        result
    }

    /// Returns an update from a relay, trying the zone's store reader first, or `None` if the
    /// store must be called directly.
    ///
    /// A stale relay responds at once, so the next one is tried. A relay that does not respond
    /// has used up the time of a watch, so the store is called: otherwise several failing relays
    /// in a row would delay changes for too long.
    async fn call_relays(
        &self,
        topic: Topic,
        after: Option<u64>,
        wait: Duration,
    ) -> Option<WatchOutcome> {
        for relay in self.relays.available(clock::now()) {
            match self.call_relay(relay, topic, after, wait).await {
                RelayResult::Received(update) => return Some(update),
                RelayResult::Stale => {}
                RelayResult::NoResponse => return None,
            }
        }
        None
    }

    async fn call_relay(
        &self,
        relay: SocketAddr,
        topic: Topic,
        after: Option<u64>,
        wait: Duration,
    ) -> RelayResult {
        let version = self.peers.version(relay);
        let is_supported = version.is_some_and(|version| version >= min_version(topic));
        if version.is_some() && !is_supported {
            // The relay may still serve the other topic, whose calls detect an upgrade.
            return RelayResult::Stale;
        }
        // Until the version is known, the call is not held: the response may be unusable.
        let wait = wait.min(if is_supported { wait } else { Duration::ZERO });
        let request = PublishedRequest {
            topic,
            after,
            wait_ms: wait.as_millis() as u64,
        };
        let timeout = wait + RELAY_RESPONSE_TIMEOUT;
        let sent_at = clock::now();
        let call = self
            .peers
            .call(relay, path::RELAY_PUBLISHED, &request, timeout);
        let response = call.await;
        match self.peers.version(relay) {
            None if response.is_ok() => {
                self.on_unsupported_relay(relay);
                return RelayResult::Stale;
            }
            Some(version) if version < min_version(topic) => return RelayResult::Stale,
            _ => {}
        }
        let (cause, result) = match response {
            Ok(PublishedResponse::Records {
                snapshot,
                current_ms,
            }) => {
                let current_at = offset(sent_at, current_ms);
                let received = current_at.map(|current_at| {
                    RelayResult::Received(WatchOutcome::Records(WatchUpdate {
                        snapshot,
                        current_at,
                    }))
                });
                ("heard".to_string(), received.unwrap_or(RelayResult::Stale))
            }
            Ok(PublishedResponse::HistoryLost) => {
                let lost = RelayResult::Received(WatchOutcome::HistoryLost);
                ("history lost".to_string(), lost)
            }
            Ok(PublishedResponse::Stale) => ("stale".to_string(), RelayResult::Stale),
            Err(e) => {
                self.relays.on_failure(relay, clock::now());
                (e.to_string(), RelayResult::NoResponse)
            }
        };
        let is_relayed = matches!(result, RelayResult::Received(_));
        self.set_is_relayed(relay, topic, is_relayed, &cause);
        result
    }

    /// Backs off from a relay that sends no wire version: it drops kinds of records that it does
    /// not know.
    fn on_unsupported_relay(&self, relay: SocketAddr) {
        self.relays.on_failure(relay, clock::now());
        log::info!(
            relay = relay.to_string().as_str();
            "store: relay not used, it sends no wire version"
        );
    }

    fn set_is_relayed(&self, relay: SocketAddr, topic: Topic, is_relayed: bool, cause: &str) {
        if self.is_relayed.swap(is_relayed, Ordering::Relaxed) != is_relayed {
            log::info!(relay = relay.to_string().as_str(), topic = format!("{topic:?}").as_str(),
                by_relay = is_relayed, cause = cause; "store: source changed");
        }
    }
}

#[async_trait]
impl MetadataSource for ZoneSource {
    fn set_addr(&self, addr: SocketAddr) {
        self.store.set_addr(addr);
    }

    async fn snapshot(&self, topic: Topic) -> Result<WatchUpdate, SourceError> {
        match self.call_relays(topic, None, Duration::ZERO).await {
            Some(WatchOutcome::Records(records)) => Ok(records),
            Some(WatchOutcome::HistoryLost) | None => {
                self.call_store(topic, self.store.snapshot(topic)).await
            }
        }
    }

    async fn watch(
        &self,
        topic: Topic,
        after: u64,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let relayed = times.with_max_hold(MAX_RELAY_HOLD);
        match self.call_relays(topic, Some(after), relayed.hold).await {
            Some(update) => Ok(update),
            None => {
                // With relays, the direct call is kept short, since a relay is probably
                // available again after it.
                let times = match self.relays.is_empty() {
                    true => times,
                    false => relayed,
                };
                let call = self.store.watch(topic, after, times);
                self.call_store(topic, call).await
            }
        }
    }
}

fn min_version(topic: Topic) -> WireVersion {
    match topic {
        Topic::Configuration => CONFIGURATION_MIN_VERSION,
        Topic::Backends => BACKENDS_MIN_VERSION,
    }
}

/// Returns the instant `after_ms` after `sent_at`, when a request was sent. The relay counts from
/// the receipt of the request, so the result is never later than the actual instant.
fn offset(sent_at: Instant, after_ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(after_ms.unsigned_abs());
    match after_ms >= 0 {
        true => sent_at.checked_add(distance),
        false => sent_at.checked_sub(distance),
    }
}
