use {
    super::{rendezvous_weight, stable_hash},
    std::{
        cmp::Reverse,
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Number of consecutive failed calls after which another aggregator is used.
const MAX_FAILURES: u32 = 2;
/// Time for which an aggregator is skipped after it has failed.
const BACKOFF: Duration = Duration::from_secs(3);
/// Upper bound on the back-off of an aggregator whose build doesn't support the state. The
/// back-off doubles until then; the bound limits the time until an upgraded sidecar is used.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// State that sidecars aggregate for all entries of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AggregatedState {
    /// Usage of client accounts.
    Limits,
    /// Requests that were running when engines crashed.
    Crashes,
}

impl AggregatedState {
    /// Returns the rendezvous key by which entries rank the sidecars.
    fn key(self) -> &'static str {
        match self {
            Self::Limits => "limits",
            Self::Crashes => "crashes",
        }
    }
}

/// Selects the sidecars that aggregate state for the whole fleet.
///
/// All entries rank the listed engines in the same order, so they select the same
/// aggregators unless their lists differ.
#[derive(Debug)]
pub struct AggregatorSelector {
    state: AggregatedState,
    /// Number of consecutive failed calls, and the time of the last.
    failures: HashMap<SocketAddr, (u32, Instant)>,
    /// Aggregators whose build doesn't support the state: their back-off and its start.
    unsupported: HashMap<SocketAddr, (Duration, Instant)>,
}

impl AggregatorSelector {
    pub fn new(state: AggregatedState) -> Self {
        Self {
            state,
            failures: HashMap::new(),
            unsupported: HashMap::new(),
        }
    }

    /// Records a failed call.
    pub fn on_failure(&mut self, aggregator: SocketAddr, now: Instant) {
        let (failures, at) = self.failures.entry(aggregator).or_insert((0, now));
        *failures += 1;
        *at = now;
    }
    /// Records a call that timed out; the aggregator is skipped at once.
    pub fn on_timeout(&mut self, aggregator: SocketAddr, now: Instant) {
        self.failures.insert(aggregator, (MAX_FAILURES, now));
    }
    /// Records that the aggregator's build doesn't support the state.
    pub fn on_unsupported(&mut self, aggregator: SocketAddr, now: Instant) {
        let known = self.unsupported.get(&aggregator);
        let backoff = known.map_or(BACKOFF, |(backoff, _)| (*backoff * 2).min(MAX_BACKOFF));
        self.unsupported.insert(aggregator, (backoff, now));
    }
    /// Records a successful call.
    pub fn on_response(&mut self, aggregator: SocketAddr) {
        self.failures.remove(&aggregator);
        self.unsupported.remove(&aggregator);
    }

    /// Returns the engine whose sidecar is the preferred aggregator.
    pub fn select(&mut self, engines: &[SocketAddr], now: Instant) -> Option<SocketAddr> {
        self.select_ranked(0, engines, now)
    }

    /// Returns the engine at a rank, for state with several aggregators. Rank 0 is preferred.
    pub fn select_ranked(
        &mut self,
        rank: usize,
        engines: &[SocketAddr],
        now: Instant,
    ) -> Option<SocketAddr> {
        self.failures
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < BACKOFF);
        let key = stable_hash(self.state.key());
        let weight = |engine: &SocketAddr| {
            let weight = rendezvous_weight(key, stable_hash(&engine.to_string()));
            Reverse((weight, *engine))
        };
        let is_skipped = |engine: &SocketAddr| {
            let failures = self.failures.get(engine);
            let has_failed = failures.is_some_and(|(failures, _)| *failures >= MAX_FAILURES);
            let unsupported = self.unsupported.get(engine);
            has_failed
                || unsupported
                    .is_some_and(|(backoff, at)| now.saturating_duration_since(*at) < *backoff)
        };
        let available = engines.iter().filter(|engine| !is_skipped(engine));
        let mut ranked: Vec<SocketAddr> = available.copied().collect();
        ranked.sort_by_cached_key(weight);
        ranked.get(rank).copied()
    }
}
