use {
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// an adapter that the engine ran is expected there for this long after its last run: a
/// sidecar unloads what nobody asks for where it needs the place
const RECENT_RUN_WINDOW: Duration = Duration::from_secs(10);
/// an adapter that the engine lacked is not looked for there for this long
const MISSING_ADAPTER_PAUSE: Duration = Duration::from_millis(700);
/// A sidecar that did not bring what it was asked for is not asked for this long: requests
/// that would wait for it are refused at once. One that brought something within this time
/// is slow, and is asked on.
const FAILED_LOAD_PAUSE: Duration = Duration::from_secs(5);
/// an engine turns a request away within this time: ten times a way there and back between
/// availability zones
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(30);

/// what an entry has seen itself of an engine whose sidecar it does not hear
#[derive(Debug, Clone, Default)]
pub struct EngineObservations {
    last_runs: HashMap<AdapterRef, Instant>,
    missing: HashMap<AdapterRef, Instant>,
    /// the first request for an adapter that was not seen to run here yet
    first_attempts: HashMap<AdapterRef, Instant>,
    /// demands do not reach its sidecar
    is_demand_undelivered: bool,
    /// when an adapter was first seen to be there
    last_load_seen: Option<Instant>,
    /// when the sidecar was last found not to have brought an adapter, unless it brought
    /// one since
    last_load_missing: Option<Instant>,
}

impl EngineObservations {
    /// its sidecar speaks
    pub fn on_report(&mut self) {
        self.missing.clear();
        self.first_attempts.clear();
        self.last_load_missing = None;
    }
    /// its sidecar, which speaks no more, has last said that it holds these
    pub fn on_view_lost(&mut self, held: impl Iterator<Item = AdapterRef>, now: Instant) {
        self.last_runs.extend(held.map(|adapter| (adapter, now)));
    }
    /// a request on an adapter goes there
    pub fn on_sent(&mut self, adapter: &AdapterRef, now: Instant) {
        if !self.ran_recently(adapter, now) {
            self.first_attempts.entry(adapter.clone()).or_insert(now);
        }
    }
    /// the engine ran a request on an adapter; says whether that was not seen before
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
    /// the engine lacked it; says whether it was not seen to run there before
    pub fn on_missing(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        self.first_attempts.remove(adapter);
        // what it ran before was unloaded, which proves nothing of its sidecar
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
    /// A first request shows whether the adapter is there; those that would go with it wait
    /// until it could have been turned away, or each of them would cost a repeat.
    pub fn is_being_probed(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.first_attempts.get(adapter), REFUSAL_TIMEOUT, now)
    }
    /// a demand has reached its sidecar, or has not
    pub fn on_demand_sent(&mut self, is_accepted: bool) {
        self.is_demand_undelivered = !is_accepted;
    }
    /// whether its sidecar may load what it is asked for, for all that is known
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
