use {
    chalkcart_coordination::relay::RelayCandidate,
    chalkcart_protocol::peer::{path, AdapterDemand, EngineDemand, RelayDemands},
    chalkcart_state::ids::BoxName,
    chalkcart_transport::client::{ClientError, PeerClient},
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        net::SocketAddr,
        sync::{Mutex, MutexGuard},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// a relay forgets an entry that is silent for 3 s
const SIGN_OF_LIFE: Duration = Duration::from_millis(900);
const POST_LIMIT: Duration = Duration::from_millis(400);
/// what comes within this time goes out together
const GATHERED: Duration = Duration::from_millis(3);
/// pause before a call that failed is made again
const RETRY: Duration = Duration::from_millis(50);
/// calls in a row that may fail before another relay is used
const MOST_FAILED: u32 = 2;

/// what an entry needs of engines, until its relay has heard it
pub struct RelayOutbox {
    entry: BoxName,
    content: Mutex<Content>,
    changed: Notify,
}

#[derive(Default)]
struct Content {
    candidates: Vec<RelayCandidate>,
    demands: BTreeMap<SocketAddr, AdapterDemand>,
    /// engines of which the relay has not heard the newest
    unsaid: BTreeSet<SocketAddr>,
}

impl RelayOutbox {
    pub fn new(entry: BoxName) -> Self {
        Self {
            entry,
            content: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// engines that are followed from now on, any of whose sidecars may be the relay
    pub fn set_candidates(&self, candidates: Vec<RelayCandidate>) {
        let mut content = self.content();
        let followed: HashSet<SocketAddr> = candidates.iter().map(|c| c.engine).collect();
        let left = content.demands.keys().filter(|e| !followed.contains(e));
        let left: Vec<SocketAddr> = left.copied().collect();
        for engine in left {
            content.demands.remove(&engine);
            content.unsaid.insert(engine);
        }
        content.candidates = candidates;
    }
    pub fn candidates(&self) -> Vec<RelayCandidate> {
        self.content().candidates.clone()
    }

    /// what is needed of one engine
    pub fn set_demand(&self, engine: SocketAddr, demand: AdapterDemand) {
        let mut content = self.content();
        let told = content.demands.get(&engine);
        if told.is_some_and(|told| told.is_equivalent_to(&demand)) {
            return;
        }
        content.demands.insert(engine, demand);
        content.unsaid.insert(engine);
        self.changed.notify_one();
    }

    /// tell a relay all, then what changes, until it can't be reached
    pub async fn run(&self, peers: &PeerClient, relay: SocketAddr) -> ClientError {
        let (mut is_whole, mut failed) = (true, 0);
        loop {
            let message = self.take_message(is_whole);
            let posted: Result<bool, _> = peers
                .call(relay, path::RELAY_DEMANDS, &message, POST_LIMIT)
                .await;
            is_whole = posted.is_err();
            match posted {
                Ok(_) => failed = 0,
                Err(e) if failed + 1 >= MOST_FAILED => return e,
                Err(_) => {
                    failed += 1;
                    sleep(RETRY).await;
                }
            }
            if !is_whole {
                // a time without a change is a sign of life
                let _ = timeout(SIGN_OF_LIFE, self.changed.notified()).await;
                sleep(GATHERED).await;
            }
        }
    }

    fn take_message(&self, is_whole: bool) -> RelayDemands {
        let mut content = self.content();
        let unsaid = std::mem::take(&mut content.unsaid);
        let engines: Vec<SocketAddr> = match is_whole {
            true => content.demands.keys().copied().collect(),
            false => unsaid.into_iter().collect(),
        };
        let told = engines.into_iter().map(|engine| EngineDemand {
            engine,
            demand: content.demands.get(&engine).cloned(),
        });
        RelayDemands {
            entry: self.entry.clone(),
            is_whole,
            engines: told.collect(),
        }
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        // no holder panics halfway through a change
        self.content.lock().unwrap_or_else(|e| e.into_inner())
    }
}
