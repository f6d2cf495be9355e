use {
    crate::client::{ClientError, PeerClient},
    chalkcart_coordination::relay::RelayCandidate,
    chalkcart_protocol::peer::{path, AdapterDemand, EngineDemand, RelayDemands},
    chalkcart_state::ids::{BoxName, ZoneName},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// A relay forgets an entry that sends nothing for 3 s.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(900);
const POST_TIMEOUT: Duration = Duration::from_millis(400);
/// Additional time for each engine in a message, since the first message to a relay contains the
/// demands on all engines.
const POST_TIMEOUT_PER_ENGINE: Duration = Duration::from_micros(500);
/// Changes within this time are sent in one message.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of consecutive failed calls after which another relay is selected.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;

/// Holds the adapter demands of an entry, or of a relay, and sends them to the relay in use.
pub struct RelayOutbox {
    sender: BoxName,
    is_relay: bool,
    state: Mutex<OutboxState>,
    changed: Notify,
}

#[derive(Default)]
struct OutboxState {
    candidates: Vec<RelayCandidate>,
    /// Zones of the candidates.
    zones: HashMap<SocketAddr, ZoneName>,
    demands: BTreeMap<SocketAddr, AdapterDemand>,
    /// Engines whose latest demand has not been sent to the relay.
    unsent: BTreeSet<SocketAddr>,
}

impl RelayOutbox {
    pub fn new(sender: BoxName, is_relay: bool) -> Self {
        Self {
            sender,
            is_relay,
            state: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Sets the engines that demands are sent for; the sidecar of each may be the relay.
    pub fn set_candidates(&self, candidates: Vec<RelayCandidate>) {
        let mut state = self.state();
        let zones = candidates.iter().map(|c| (c.engine, c.zone.clone()));
        state.zones = zones.collect();
        state.candidates = candidates;
        let zones = &state.zones;
        let removed = state.demands.keys().filter(|e| !zones.contains_key(e));
        let removed: Vec<SocketAddr> = removed.copied().collect();
        for engine in removed {
            state.demands.remove(&engine);
            state.unsent.insert(engine);
        }
    }

    pub fn is_candidate(&self, engine: &SocketAddr) -> bool {
        self.state().zones.contains_key(engine)
    }

    pub fn candidates(&self) -> Vec<RelayCandidate> {
        self.state().candidates.clone()
    }

    /// Sets the demand of one engine.
    pub fn set_demand(&self, engine: SocketAddr, demand: AdapterDemand) {
        let mut state = self.state();
        let known = state.demands.get(&engine);
        if known.is_some_and(|known| known.is_equivalent_to(&demand)) {
            return;
        }
        state.demands.insert(engine, demand);
        state.unsent.insert(engine);
        self.changed.notify_one();
    }

    /// Sends all demands to a relay, then the changes, until the relay is unreachable.
    pub async fn run(&self, peers: &PeerClient, relay: SocketAddr) -> ClientError {
        let (mut is_full, mut failures) = (true, 0);
        loop {
            let message = self.take_message(is_full);
            let timeout_of_engines = POST_TIMEOUT_PER_ENGINE * message.engines.len() as u32;
            let limit = POST_TIMEOUT + timeout_of_engines;
            let call = peers.call(relay, path::RELAY_DEMANDS, &message, limit);
            let posted: Result<bool, _> = call.await;
            // The relay may have missed the changes.
            is_full = posted.is_err();
            match posted {
                Ok(_) => failures = 0,
                Err(e) if failures + 1 >= MAX_CONSECUTIVE_FAILURES => return e,
                Err(_) => {
                    failures += 1;
                    sleep(RETRY_DELAY).await;
                }
            }
            if !is_full {
                // After this time without a change, an empty message is sent as a heartbeat.
                let _ = timeout(HEARTBEAT_INTERVAL, self.changed.notified()).await;
                sleep(BATCH_DELAY).await;
            }
        }
    }

    fn take_message(&self, is_full: bool) -> RelayDemands {
        let mut state = self.state();
        let unsent = std::mem::take(&mut state.unsent);
        let engines: Vec<SocketAddr> = match is_full {
            true => state.demands.keys().copied().collect(),
            false => unsent.into_iter().collect(),
        };
        let demands = engines.into_iter().map(|engine| EngineDemand {
            engine,
            demand: state.demands.get(&engine).cloned(),
            zone: state.zones.get(&engine).cloned(),
        });
        RelayDemands {
            entry: self.sender.clone(),
            is_whole: is_full,
            engines: demands.collect(),
            is_relay: self.is_relay,
        }
    }

    fn state(&self) -> MutexGuard<'_, OutboxState> {
        // No holder panics in the middle of an update.
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}
