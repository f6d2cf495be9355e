use {
    super::{relay_discovery::RelayDiscovery, store_relays::StoreRelays},
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
        client::{ClientStep, PeerClient, ResponseLimits},
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
    tokio::time::sleep,
};

/// Maximum time that a relay may hold a watch call, which bounds the time to notice that the relay
/// is unreachable.
const MAX_RELAY_HOLD: Duration = Duration::from_millis(1_000);
/// Time for the response of a relay in addition to the time that it holds the call.
const RELAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for the whole response of a relay, whose size grows with the fleet.
const MAX_RELAY_RESPONSE: Duration = Duration::from_millis(2_000);
/// How long an entry without a list waits for relays that respond but have no list yet.
const MAX_RELAY_START: Duration = Duration::from_secs(5);
/// How long an entry without a list waits for relays while none of them is reading it.
const MAX_RELAY_SEARCH: Duration = Duration::from_millis(600);
/// Delay before the relays are called again.
const RELAY_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Number of the store's latest changes in which an entry without a list looks for engines.
const RECENT_CHANGES: u64 = 128;
/// Times of a read of changes that is not held.
const RECENT_CHANGES_TIMES: WatchTimes = WatchTimes {
    hold: Duration::ZERO,
    response: Duration::from_millis(700),
};

/// Wire versions from which on a relay forwards all records of a topic that this build reads.
const CONFIGURATION_MIN_VERSION: WireVersion = WireVersion(5);
const BACKENDS_MIN_VERSION: WireVersion = WireVersion(4);

/// The outcome of a call to a relay.
enum RelayResult {
    Received(WatchOutcome),
    /// The relay is reading the topic from the store for the first time.
    Starting,
    /// The relay has no recent state of the store, or is of an older build.
    Stale,
    NoResponse,
}

/// The outcome of calls to the relays that are available.
enum RelaysResult {
    Received(WatchOutcome),
    /// No relay has the topic, but at least one is reading it.
    Starting,
    /// The store must be called directly.
    Unavailable,
}

/// Reads the platform's store through a relay of the zone, or directly while no relay has a recent
/// state of the store.
pub struct ZoneSource {
    store: Arc<dyn MetadataSource>,
    relays: Arc<StoreRelays>,
    discovery: RelayDiscovery,
    pacing: RelayPacing,
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
        discovery: RelayDiscovery,
        pacing: RelayPacing,
    ) -> Self {
        let calls = || Mutex::new(DirectCallPacing::new(pacing.direct_call_pause()));
        Self {
            configuration_calls: calls(),
            backends_calls: calls(),
            store,
            relays,
            discovery,
            pacing,
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

    /// Returns an update from a relay, trying the zone's store reader first.
    ///
    /// A relay that does not respond has used up the time of a watch. The next one is tried only
    /// while the direct call that may follow still ends within the propagation limit.
    async fn call_relays(&self, topic: Topic, after: Option<u64>, wait: Duration) -> RelaysResult {
        let called_at = clock::now();
        let mut is_starting = false;
        for relay in self.relays.available(called_at) {
            let Some(max_wait) = self.max_relay_wait(called_at) else {
                break;
            };
            let call = self.call_relay(relay, topic, after, wait.min(max_wait));
            let mut result = call.await;
            if let (RelayResult::Starting, Some(max_wait)) =
                (&result, self.max_relay_wait(called_at))
            {
                // The first call to a relay is not held, as its version is unknown.
                result = self
                    .call_relay(relay, topic, after, wait.min(max_wait))
                    .await;
            }
            match result {
                RelayResult::Received(update) => return RelaysResult::Received(update),
                RelayResult::Starting => is_starting = true,
                RelayResult::Stale | RelayResult::NoResponse => {}
            }
        }
        match is_starting {
            true => RelaysResult::Starting,
            false => RelaysResult::Unavailable,
        }
    }

    /// Returns how long the next relay may hold a call, or `None` if no further relay may be
    /// called.
    fn max_relay_wait(&self, called_at: Instant) -> Option<Duration> {
        let remaining = self
            .pacing
            .stale_after()
            .checked_sub(clock::elapsed(called_at))?;
        remaining.checked_sub(RELAY_RESPONSE_TIMEOUT)
    }

    /// Reads the list through relays, which are found in the latest changes of the list or on its
    /// first page. Reads it completely from the store if the first page is all of it, or if no
    /// relay delivers it.
    async fn discover_list(&self) -> Result<WatchUpdate, SourceError> {
        let topic = Topic::Backends;
        let mut is_found = self.discover_in_recent_changes().await;
        if !is_found {
            let page = self.call_store(topic, self.store.first_page(topic)).await?;
            if page.is_complete {
                return Ok(page.update);
            }
            is_found = self.discovery.discover(&page.update.snapshot).await;
        }
        if is_found {
            if let Some(update) = self.await_list().await {
                return Ok(update);
            }
            log::warn!("store: no relay delivered the list, which is read from the store");
        }
        self.call_store(topic, self.store.snapshot(topic)).await
    }

    /// Returns whether the latest changes of the list name enough engines. They are few records
    /// however large the fleet is; a page may be most of the list.
    async fn discover_in_recent_changes(&self) -> bool {
        let Some(revision) = self.discovery.configuration_revision().await else {
            return false;
        };
        let after = revision.saturating_sub(RECENT_CHANGES);
        let topic = Topic::Backends;
        let call = self.store.watch(topic, after, RECENT_CHANGES_TIMES);
        match self.call_store(topic, call).await {
            Ok(WatchOutcome::Records(changes)) => self.discovery.discover(&changes.snapshot).await,
            Ok(WatchOutcome::HistoryLost) => false,
            Err(e) => {
                log::warn!(cause = e.to_string().as_str(); "store: latest changes not read");
                false
            }
        }
    }

    /// Calls relays until one delivers the list. Returns `None` if none of them is reading it, or
    /// if that takes too long.
    async fn await_list(&self) -> Option<WatchUpdate> {
        let started_at = clock::now();
        let mut last_progress = started_at;
        while clock::elapsed(started_at) < MAX_RELAY_START
            && clock::elapsed(last_progress) < MAX_RELAY_SEARCH
        {
            match self
                .call_relays(Topic::Backends, None, MAX_RELAY_HOLD)
                .await
            {
                RelaysResult::Received(WatchOutcome::Records(update)) => return Some(update),
                RelaysResult::Starting => last_progress = clock::now(),
                RelaysResult::Received(WatchOutcome::HistoryLost) | RelaysResult::Unavailable => {}
            }
            sleep(RELAY_RETRY_DELAY).await;
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
        let limits = ResponseLimits {
            head: wait + RELAY_RESPONSE_TIMEOUT,
            pause: RELAY_RESPONSE_TIMEOUT,
            total: wait + MAX_RELAY_RESPONSE,
        };
        let sent_at = clock::now();
        let call = self
            .peers
            .call(relay, path::RELAY_PUBLISHED, &request, limits);
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
            Ok(PublishedResponse::Starting { .. }) => {
                ("starting".to_string(), RelayResult::Starting)
            }
            Ok(PublishedResponse::Stale) => ("stale".to_string(), RelayResult::Stale),
            Err(e) => {
                match e.step {
                    ClientStep::Refused => self.relays.on_refusal(relay, clock::now()),
                    _ => self.relays.on_failure(relay, clock::now()),
                }
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
        let relayed = self.call_relays(topic, None, Duration::ZERO).await;
        if let RelaysResult::Received(WatchOutcome::Records(records)) = relayed {
            return Ok(records);
        }
        match topic {
            Topic::Backends if self.relays.is_empty() && self.discovery.is_enabled() => {
                self.discover_list().await
            }
            _ => self.call_store(topic, self.store.snapshot(topic)).await,
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
            RelaysResult::Received(update) => Ok(update),
            RelaysResult::Starting | RelaysResult::Unavailable => {
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
