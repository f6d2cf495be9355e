use {
    super::{rendezvous_weight, stable_hash},
    std::{
        cmp::Reverse,
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// calls in a row that a keeper may fail before another is used
const MOST_FAILED: u32 = 2;
/// a keeper that failed is left alone for this long
const REST: Duration = Duration::from_secs(3);
/// One whose build does not know the matter is left alone for longer each time: it will know
/// it once it is replaced, and entries should take it into use again soon after that.
const LONGEST_REST: Duration = Duration::from_secs(15);

/// what sidecars keep for the entries of the whole fleet
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AggregatedState {
    /// what client accounts have used of their limits
    Limits,
    /// requests that engines ended under
    Crashes,
}

impl AggregatedState {
    /// under this name entries rank the sidecars
    fn name(self) -> &'static str {
        match self {
            Self::Limits => "limits",
            Self::Crashes => "crashes",
        }
    }
}

/// Chooses the sidecars that keep a matter of the whole fleet. All entries rank the listed
/// engines alike; while their lists differ there are more keepers than one.
#[derive(Debug)]
pub struct AggregatorSelector {
    matter: AggregatedState,
    /// calls that failed in a row, and when the last did
    failed: HashMap<SocketAddr, (u32, Instant)>,
    /// keepers of builds that do not know the matter: how long they are left alone, and
    /// since when
    unknowing: HashMap<SocketAddr, (Duration, Instant)>,
}

impl AggregatorSelector {
    pub fn new(matter: AggregatedState) -> Self {
        Self {
            matter,
            failed: HashMap::new(),
            unknowing: HashMap::new(),
        }
    }

    pub fn on_failure(&mut self, keeper: SocketAddr, now: Instant) {
        let (failed, at) = self.failed.entry(keeper).or_insert((0, now));
        *failed += 1;
        *at = now;
    }
    /// a keeper that had long enough to answer is left at once
    pub fn on_timeout(&mut self, keeper: SocketAddr, now: Instant) {
        self.failed.insert(keeper, (MOST_FAILED, now));
    }
    /// its build does not know the matter
    pub fn on_unsupported(&mut self, keeper: SocketAddr, now: Instant) {
        let known = self.unknowing.get(&keeper);
        let rest = known.map_or(REST, |(rest, _)| (*rest * 2).min(LONGEST_REST));
        self.unknowing.insert(keeper, (rest, now));
    }
    pub fn on_response(&mut self, keeper: SocketAddr) {
        self.failed.remove(&keeper);
        self.unknowing.remove(&keeper);
    }

    /// the engine whose sidecar is to be used, none if there is none
    pub fn select(&mut self, engines: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        self.select_ranked(0, engines, now)
    }

    /// the same for the next ranks, where a matter has several keepers
    pub fn select_ranked(
        &mut self,
        rank: usize,
        engines: &[SocketAddr],
        now: Instant,
    ) -> Option<SocketAddr> {
        self.failed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < REST);
        let purpose = stable_hash(self.matter.name());
        let weight = |engine: &SocketAddr| {
            let weight = rendezvous_weight(purpose, stable_hash(&engine.to_string()));
            Reverse((weight, *engine))
        };
        let rests = |engine: &SocketAddr| {
            let failed = self.failed.get(engine);
            let has_failed = failed.is_some_and(|(failed, _)| *failed >= MOST_FAILED);
            let unknowing = self.unknowing.get(engine);
            has_failed
                || unknowing.is_some_and(|(rest, at)| now.saturating_duration_since(*at) < *rest)
        };
        let sound = engines.iter().filter(|engine| !rests(engine));
        let mut ranked: Vec<SocketAddr> = sound.copied().collect();
        ranked.sort_by_cached_key(weight);
        ranked.get(rank).copied()
    }
}
