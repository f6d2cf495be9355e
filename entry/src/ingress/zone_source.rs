use {
    super::{
        relay_discovery::RelayDiscovery,
        store_relay_client::{RelaysResult, StoreRelayClient},
        store_relays::StoreRelays,
    },
    async_trait::async_trait,
    chalkcart_coordination::{
        relay::{DirectCallPacing, RelayPacing},
        watch::WatchTimes,
    },
    chalkcart_state::published::{StorePosition, Topic},
    chalkcart_transport::{
        clock,
        metadata::{KnownEra, MetadataSource, SourceError, WatchOutcome, WatchUpdate},
    },
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Maximum time that a relay may hold a watch call, which bounds the time to notice that the relay
/// is unreachable.
const MAX_RELAY_HOLD: Duration = Duration::from_millis(1_000);
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

/// Reads the platform's store through a relay of the zone, or directly while no relay has a recent
/// state of the store.
pub struct ZoneSource {
    store: Arc<dyn MetadataSource>,
    relays: StoreRelayClient,
    discovery: RelayDiscovery,
    pacing: RelayPacing,
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
            relays: StoreRelayClient::new(relays, pacing, store.known_era()),
            store,
            discovery,
            pacing,
        }
    }

    pub fn has_relays(&self) -> bool {
        self.relays.has_relays()
    }

    pub fn is_relayed(&self) -> bool {
        self.relays.is_relayed()
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
        if self.relays.has_relays() && !self.direct_calls(topic).may_call(clock::now()) {
            return Err(SourceError::LeftToRelay);
        }
        let result = call.await;
        match &result {
            Ok(_) => self.direct_calls(topic).on_success(),
            Err(_) => self.direct_calls(topic).on_failure(clock::now()),
        }
        result
    }

    /// Returns whether relays that can read a topic must be found first.
    fn should_discover(&self, topic: Topic) -> bool {
        topic == Topic::Backends && !self.relays.has_relays() && self.discovery.is_enabled()
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
            if let Some(update) = self.await_relay(topic, MAX_RELAY_START).await {
                return Ok(update);
            }
            log::warn!("store: no relay delivered the list, which is read from the store");
        }
        self.call_store(topic, self.store.snapshot(topic)).await
    }

    /// Returns whether the latest changes of the list name enough engines. They are few records
    /// however large the fleet is; a page may be most of the list.
    async fn discover_in_recent_changes(&self) -> bool {
        let Some(position) = self.discovery.configuration_position().await else {
            return false;
        };
        let after = position.back_by(RECENT_CHANGES);
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

    /// Waits for a relay that reads a restored store. It may notice the restore a little later than
    /// this entry, and the whole list is too much to be read by each entry.
    async fn await_restored(&self, topic: Topic, result: RelaysResult) -> Option<WatchUpdate> {
        let is_starting = matches!(result, RelaysResult::Starting);
        let is_list = topic == Topic::Backends && self.relays.has_relays();
        if !is_starting && !is_list {
            return None;
        }
        let limit = self.pacing.restored_list_wait();
        self.await_relay(topic, limit).await
    }

    /// Calls relays until one delivers all records of a topic. Returns `None` if none of them is
    /// reading it, or if that takes longer than `limit`.
    async fn await_relay(&self, topic: Topic, limit: Duration) -> Option<WatchUpdate> {
        let started_at = clock::now();
        let mut last_progress = started_at;
        while clock::elapsed(started_at) < limit && clock::elapsed(last_progress) < MAX_RELAY_SEARCH
        {
            let call = self.relays.call(topic, None, MAX_RELAY_HOLD.min(limit));
            match call.await {
                RelaysResult::Received(WatchOutcome::Records(update)) => return Some(update),
                RelaysResult::Starting => last_progress = clock::now(),
                RelaysResult::Received(WatchOutcome::HistoryLost) | RelaysResult::Unavailable => {}
            }
            sleep(RELAY_RETRY_DELAY).await;
        }
        None
    }
}

#[async_trait]
impl MetadataSource for ZoneSource {
    fn set_addr(&self, addr: SocketAddr) {
        self.store.set_addr(addr);
    }

    fn known_era(&self) -> Arc<KnownEra> {
        self.store.known_era()
    }

    async fn snapshot(&self, topic: Topic) -> Result<WatchUpdate, SourceError> {
        match self.relays.call(topic, None, Duration::ZERO).await {
            RelaysResult::Received(WatchOutcome::Records(records)) => return Ok(records),
            _ if self.should_discover(topic) => return self.discover_list().await,
            result => {
                if let Some(update) = self.await_restored(topic, result).await {
                    return Ok(update);
                }
            }
        }
        self.call_store(topic, self.store.snapshot(topic)).await
    }

    async fn watch(
        &self,
        topic: Topic,
        after: StorePosition,
        times: WatchTimes,
    ) -> Result<WatchOutcome, SourceError> {
        let relayed = times.with_max_hold(MAX_RELAY_HOLD);
        match self.relays.call(topic, Some(after), relayed.hold).await {
            RelaysResult::Received(update) => Ok(update),
            RelaysResult::Starting | RelaysResult::Unavailable => {
                // With relays, the direct call is kept short, since a relay is probably
                // available again after it.
                let times = match self.relays.has_relays() {
                    true => relayed,
                    false => times,
                };
                let call = self.store.watch(topic, after, times);
                self.call_store(topic, call).await
            }
        }
    }
}
