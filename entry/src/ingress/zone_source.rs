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

/// longest time that a relay may wait for something newer; one that is cut off
/// silently is noticed after it
const RELAYED_WAIT: Duration = Duration::from_millis(1_000);
/// time for the answer of a relay beyond its wait
const RELAY_SLACK: Duration = Duration::from_millis(300);

/// wire versions from which on a relay passes on all that is read here of a topic
const CONFIGURATION_SINCE: WireVersion = WireVersion(5);
const BACKENDS_SINCE: WireVersion = WireVersion(4);

/// how a relay answered
enum RelayWord {
    Heard(WatchOutcome),
    /// it has not heard the store lately
    Stale,
    NoAnswer,
}

/// What the platform's store publishes, by the relay of the zone as long as that
/// one hears the store, else by calls of our own.
pub struct ZoneSource {
    store: Arc<dyn MetadataSource>,
    relays: Arc<StoreRelays>,
    peers: PeerClient,
    /// the last answer came from a relay
    is_relayed: AtomicBool,
    configuration_calls: Mutex<DirectCallPacing>,
    backends_calls: Mutex<DirectCallPacing>,
}

impl ZoneSource {
    pub fn new(
        store: Arc<dyn MetadataSource>,
        relays: Arc<StoreRelays>,
        pacing: RelayPacing,
    ) -> Self {
        let own_calls = || Mutex::new(DirectCallPacing::new(pacing.direct_call_pause()));
        Self {
            configuration_calls: own_calls(),
            backends_calls: own_calls(),
            store,
            relays,
            peers: PeerClient::new(),
            is_relayed: AtomicBool::new(false),
        }
    }

    pub fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    fn own_calls(&self, topic: Topic) -> MutexGuard<'_, DirectCallPacing> {
        let calls = match topic {
            Topic::Configuration => &self.configuration_calls,
            Topic::Backends => &self.backends_calls,
        };
        // no holder panics halfway through a change
        calls.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// a call of our own, unless the last one failed and a relay asks on
    async fn ask_store<A>(
        &self,
        topic: Topic,
        call: impl Future<Output = Result<A, SourceError>>,
    ) -> Result<A, SourceError> {
        let has_relay = !self.relays.is_empty();
        if has_relay && !self.own_calls(topic).may_call(clock::now()) {
            return Err(SourceError::LeftToRelay);
        }
        let answer = call.await;
        match &answer {
            Ok(_) => self.own_calls(topic).on_success(),
            Err(_) => self.own_calls(topic).on_failure(clock::now()),
        }
        answer
    }

    /// What a relay says, the zone's reader first; none if the store must be asked.
    ///
    /// A relay that is stale says so at once, and the next is asked. One that gives no
    /// answer has cost the time of a watch: then the store is asked, or a change would
    /// be known too late where relays die one after the other.
    async fn ask_relays(
        &self,
        topic: Topic,
        after: Option<u64>,
        wait: Duration,
    ) -> Option<WatchOutcome> {
        for relay in self.relays.available(clock::now()) {
            match self.ask_relay(relay, topic, after, wait).await {
                RelayWord::Heard(heard) => return Some(heard),
                RelayWord::Stale => {}
                RelayWord::NoAnswer => return None,
            }
        }
        None
    }

    async fn ask_relay(
        &self,
        relay: SocketAddr,
        topic: Topic,
        after: Option<u64>,
        wait: Duration,
    ) -> RelayWord {
        let version = self.peers.version(relay);
        let passes_on = version.is_some_and(|version| version >= needed(topic));
        if version.is_some() && !passes_on {
            // it speaks of the other topic, and says so when it is replaced
            return RelayWord::Stale;
        }
        // one of an older build is not waited for: its word is not used
        let wait = wait.min(if passes_on { wait } else { Duration::ZERO });
        let ask = PublishedRequest {
            topic,
            after,
            wait_ms: wait.as_millis() as u64,
        };
        let limit = wait + RELAY_SLACK;
        let asked = clock::now();
        let answer = self.peers.call(relay, path::RELAY_PUBLISHED, &ask, limit);
        let answer = answer.await;
        match self.peers.version(relay) {
            None if answer.is_ok() => {
                self.on_older_relay(relay);
                return RelayWord::Stale;
            }
            Some(version) if version < needed(topic) => return RelayWord::Stale,
            _ => {}
        }
        let (cause, word) = match answer {
            Ok(PublishedResponse::Records {
                snapshot,
                current_ms,
            }) => {
                let current_at = moment(asked, current_ms);
                let heard = current_at.map(|current_at| {
                    RelayWord::Heard(WatchOutcome::Records(WatchUpdate {
                        snapshot,
                        current_at,
                    }))
                });
                ("heard".to_string(), heard.unwrap_or(RelayWord::Stale))
            }
            Ok(PublishedResponse::HistoryLost) => {
                let lost = RelayWord::Heard(WatchOutcome::HistoryLost);
                ("history lost".to_string(), lost)
            }
            Ok(PublishedResponse::Stale) => ("stale".to_string(), RelayWord::Stale),
            Err(e) => {
                self.relays.on_failure(relay, clock::now());
                (e.to_string(), RelayWord::NoAnswer)
            }
        };
        self.note_source(relay, topic, matches!(word, RelayWord::Heard(_)), &cause);
        word
    }

    /// A relay that says no wire version knows fewer kinds of records, and passes them over:
    /// what it does not know would never come here. It is asked again as one that failed.
    fn on_older_relay(&self, relay: SocketAddr) {
        self.relays.on_failure(relay, clock::now());
        log::info!(relay = relay.to_string().as_str(); "store: relay of an older build not used");
    }

    fn note_source(&self, relay: SocketAddr, topic: Topic, hears: bool, cause: &str) {
        if self.is_relayed.swap(hears, Ordering::Relaxed) != hears {
            log::info!(relay = relay.to_string().as_str(), topic = format!("{topic:?}").as_str(),
                by_relay = hears, cause = cause; "store: source changed");
        }
    }
}

#[async_trait]
impl MetadataSource for ZoneSource {
    fn set_addr(&self, addr: SocketAddr) {
        self.store.set_addr(addr);
    }

    async fn snapshot(&self, topic: Topic) -> Result<WatchUpdate, SourceError> {
        match self.ask_relays(topic, None, Duration::ZERO).await {
            Some(WatchOutcome::Records(heard)) => Ok(heard),
            Some(WatchOutcome::HistoryLost) | None => {
                self.ask_store(topic, self.store.snapshot(topic)).await
            }
        }
    }

    async fn watch(
        &self,
        topic: Topic,
        after: u64,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let relayed = times.with_max_hold(RELAYED_WAIT);
        match self.ask_relays(topic, Some(after), relayed.hold).await {
            Some(heard) => Ok(heard),
            None => {
                // where there are relays, one of them is most likely sound by then
                let times = match self.relays.is_empty() {
                    true => times,
                    false => relayed,
                };
                let call = self.store.watch(topic, after, times);
                self.ask_store(topic, call).await
            }
        }
    }
}

fn needed(topic: Topic) -> WireVersion {
    match topic {
        Topic::Configuration => CONFIGURATION_SINCE,
        Topic::Backends => BACKENDS_SINCE,
    }
}

/// A moment so many ms after another. The relay counts from the receipt of a question,
/// which it can't have received before it was asked: so the moment is never too late.
fn moment(asked: Instant, after_ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(after_ms.unsigned_abs());
    match after_ms >= 0 {
        true => asked.checked_add(distance),
        false => asked.checked_sub(distance),
    }
}
