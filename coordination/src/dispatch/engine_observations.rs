use {
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// How long after its last run an adapter is expected on the engine: a sidecar unloads idle
/// adapters when it needs the slot.
const RECENT_RUN_WINDOW: Duration = Duration::from_secs(10);
/// How long no request is sent to an engine for an adapter that it lacked.
const MISSING_ADAPTER_PAUSE: Duration = Duration::from_millis(700);
/// How long no load is requested from a sidecar that failed to load an adapter, so that
/// requests are rejected at once rather than wait for it. One that loaded an adapter within
/// this time is assumed to be slow only.
const FAILED_LOAD_PAUSE: Duration = Duration::from_secs(5);
/// Time within which an engine refuses a request for an adapter that it lacks; ten round
/// trips between zones.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);

/// What this entry observed of an engine whose sidecar doesn't report.
#[derive(Debug, Clone, Default)]
pub struct EngineObservations {
    last_runs: HashMap<AdapterRef, Instant>,
    missing: HashMap<AdapterRef, Instant>,
    /// Times of the first requests for adapters that were not yet seen to run here.
    first_attempts: HashMap<AdapterRef, Instant>,
    /// Whether demands don't reach the sidecar.
    is_demand_undelivered: bool,
    /// When an adapter was last seen to have been loaded.
    last_load_seen: Option<Instant>,
    /// When a load was last found missing, unless one succeeded since.
    last_load_missing: Option<Instant>,
}

impl EngineObservations {
    /// Handles a report of the sidecar.
    pub fn on_report(&mut self) {
        self.missing.clear();
        self.first_attempts.clear();
        self.last_load_missing = None;
    }
    /// Handles the loss of the sidecar's reports, the last of which listed these adapters.
    pub fn on_view_lost(&mut self, held: impl Iterator<Item = AdapterRef>, now: Instant) {
        self.last_runs.extend(held.map(|adapter| (adapter, now)));
    }
    /// Records that a request for an adapter is sent to the engine.
    pub fn on_sent(&mut self, adapter: &AdapterRef, now: Instant) {
        if !self.ran_recently(adapter, now) {
            self.first_attempts.entry(adapter.clone()).or_insert(now);
        }
    }
    /// Records that the engine ran a request on an adapter; returns whether it had not been
    /// seen there before.
    pub fn on_ran(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        let is_new = self.first_attempts.remove(adapter).is_some();
        self.last_runs.insert(adapter.clone(), now);
        self.missing.remove(adapter);
        self.last_load_missing = None;
        if is_new {
            self.last_load_seen = Some(now);
        }
        self.remove_expired(now);
        is_new
    }
    /// Records that the engine lacked an adapter; returns whether it had not been seen to
    /// run there before.
    pub fn on_missing(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        self.first_attempts.remove(adapter);
        // an adapter that ran before was unloaded, which is no failure to load
        let is_new = self.last_runs.remove(adapter).is_none();
        let has_loaded_recently = is_within(self.last_load_seen.as_ref(), FAILED_LOAD_PAUSE, now);
        if is_new && !has_loaded_recently {
            self.last_load_missing = Some(now);
        }
        self.missing.insert(adapter.clone(), now);
        self.remove_expired(now);
        is_new
    }
    pub fn is_missing(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.missing.get(adapter), MISSING_ADAPTER_PAUSE, now)
    }
    pub fn ran_recently(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.last_runs.get(adapter), RECENT_RUN_WINDOW, now)
    }
    /// Returns whether the first request for an adapter is in flight. Further ones wait until
    /// the engine could have refused it, as each refusal would cost a retry.
    pub fn is_being_probed(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.first_attempts.get(adapter), REFUSAL_TIMEOUT, now)
    }
    /// Records whether a demand reached the sidecar.
    pub fn on_demand_sent(&mut self, is_accepted: bool) {
        self.is_demand_undelivered = !is_accepted;
    }
    /// Returns whether the sidecar may load what it is requested to, as far as is known.
    pub fn may_load(&self, now: Instant) -> bool {
        !self.is_demand_undelivered
            && !is_within(self.last_load_missing.as_ref(), FAILED_LOAD_PAUSE, now)
    }

    fn remove_expired(&mut self, now: Instant) {
        self.last_runs
            .retain(|_, at| is_within(Some(at), RECENT_RUN_WINDOW, now));
        self.first_attempts
            .retain(|_, at| is_within(Some(at), RECENT_RUN_WINDOW, now));
        self.missing
            .retain(|_, at| is_within(Some(at), MISSING_ADAPTER_PAUSE, now));
    }
}

fn is_within(at: Option<&Instant>, time: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < time)
}
