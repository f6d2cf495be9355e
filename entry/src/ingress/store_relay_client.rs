use {
    super::store_relays::StoreRelays,
    chalkcart_coordination::relay::RelayPacing,
    chalkcart_protocol::{
        peer::{path, PublishedRequest, PublishedResponse},
        wire::WireVersion,
    },
    chalkcart_state::published::{StoreEra, StorePosition, Topic},
    chalkcart_transport::{
        client::{ClientStep, PeerClient, ResponseLimits},
        clock,
        metadata::{KnownEra, WatchOutcome, WatchUpdate},
    },
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
};

/// Time for the response of a relay in addition to the time that it holds the call.
const RELAY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for the whole response of a relay, whose size grows with the fleet.
const MAX_RELAY_RESPONSE: Duration = Duration::from_millis(2_000);
/// Wire version from which on a relay passes the software versions of back ends on. Those before 8
/// also go on with the records of an era of the store that is over.
const MIN_RELAY_VERSION: WireVersion = WireVersion(9);

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
pub enum RelaysResult {
    Received(WatchOutcome),
    /// No relay has the topic, but at least one is reading it.
    Starting,
    /// The store must be called directly.
    Unavailable,
}

/// Requests records of the platform's store from relays.
pub struct StoreRelayClient {
    relays: Arc<StoreRelays>,
    pacing: RelayPacing,
    peers: PeerClient,
    era: Arc<KnownEra>,
    /// Whether the last update came from a relay.
    is_relayed: AtomicBool,
}

impl StoreRelayClient {
    pub fn new(relays: Arc<StoreRelays>, pacing: RelayPacing, era: Arc<KnownEra>) -> Self {
        Self {
            era,
            relays,
            pacing,
            peers: PeerClient::new(),
            is_relayed: AtomicBool::new(false),
        }
    }

    /// Returns whether the last update came from a relay.
    pub fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    pub fn has_relays(&self) -> bool {
        !self.relays.is_empty()
    }

    /// Returns an update from a relay, trying the zone's store reader first.
    ///
    /// A relay that does not respond has used up the time of a watch. The next one is tried only
    /// while the direct call that may follow still ends within the propagation limit.
    pub async fn call(
        &self,
        topic: Topic,
        after: Option<StorePosition>,
        wait: Duration,
    ) -> RelaysResult {
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

    async fn call_relay(
        &self,
        relay: SocketAddr,
        topic: Topic,
        after: Option<StorePosition>,
        wait: Duration,
    ) -> RelayResult {
        let version = self.peers.version(relay);
        let is_supported = version.is_some_and(|version| version >= MIN_RELAY_VERSION);
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
            ..ResponseLimits::from(wait + MAX_RELAY_RESPONSE)
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
            Some(version) if version < MIN_RELAY_VERSION => return RelayResult::Stale,
            _ => {}
        }
        let (result, cause) = match response {
            Ok(response) => read_response(response, sent_at, self.era.get()),
            Err(e) => {
                match e.step {
                    ClientStep::Refused => self.relays.on_refusal(relay, clock::now()),
                    _ => self.relays.on_failure(relay, clock::now()),
                }
                (RelayResult::NoResponse, e.to_string())
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

/// Returns the result of a call that was sent at `sent_at`, and its name for the log. `era` is the
/// latest one known.
fn read_response(
    response: PublishedResponse,
    sent_at: Instant,
    era: StoreEra,
) -> (RelayResult, String) {
    let (result, name) = match response {
        PublishedResponse::Records { snapshot, .. } if snapshot.at.era < era => {
            (RelayResult::Stale, "earlier era")
        }
        PublishedResponse::Records {
            snapshot,
            current_ms,
        } => {
            let update = offset(sent_at, current_ms).map(|current_at| WatchUpdate {
                snapshot,
                current_at,
            });
            let result = update.map_or(RelayResult::Stale, |update| {
                RelayResult::Received(WatchOutcome::Records(update))
            });
            (result, "heard")
        }
        PublishedResponse::HistoryLost => {
            let result = RelayResult::Received(WatchOutcome::HistoryLost);
            (result, "history lost")
        }
        PublishedResponse::Starting { .. } => (RelayResult::Starting, "starting"),
        PublishedResponse::Stale => (RelayResult::Stale, "stale"),
    };
    (result, name.to_string())
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
