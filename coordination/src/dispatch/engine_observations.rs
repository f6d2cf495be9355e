use {
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// an adapter that the engine ran is expected there for this long after its last run: a
/// sidecar unloads what nobody asks for where it needs the place
const RAN_LATELY: Duration = Duration::from_secs(10);
/// an adapter that the engine lacked is not looked for there for this long
const LACKS_FOR: Duration = Duration::from_millis(700);
/// A sidecar that did not bring what it was asked for is not asked for this long: requests
/// that would wait for it are refused at once. One that brought something within this time
/// is slow, and is asked on.
const BRINGS_NOTHING_FOR: Duration = Duration::from_secs(5);
/// an engine turns a request away within this time: ten times a way there and back between
/// availability zones
const TURNED_AWAY_WITHIN: Duration = Duration::from_millis(30);

/// what an entry has seen itself of an engine whose sidecar it does not hear
#[derive(Debug, Clone, Default)]
pub struct EngineObservations {
    ran: HashMap<AdapterRef, Instant>,
    lacked: HashMap<AdapterRef, Instant>,
    /// the first request for an adapter that was not seen to run here yet
    tried: HashMap<AdapterRef, Instant>,
    /// demands do not reach its sidecar
    is_deaf: bool,
    /// when an adapter was first seen to be there
    brought: Option<Instant>,
    /// when the sidecar was last found not to have brought an adapter, unless it brought
    /// one since
    brought_nothing: Option<Instant>,
}

impl EngineObservations {
    /// its sidecar speaks
    pub fn on_heard(&mut self) {
        self.lacked.clear();
        self.tried.clear();
        self.brought_nothing = None;
    }
    /// its sidecar, which speaks no more, has last said that it holds these
    pub fn on_view_lost(&mut self, held: impl Iterator<Item = AdapterRef>, now: Instant) {
        self.ran.extend(held.map(|adapter| (adapter, now)));
    }
    /// a request on an adapter goes there
    pub fn on_sent(&mut self, adapter: &AdapterRef, now: Instant) {
        if !self.ran_lately(adapter, now) {
            self.tried.entry(adapter.clone()).or_insert(now);
        }
    }
    /// the engine ran a request on an adapter; says whether that was not seen before
    pub fn on_ran(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        let is_new = self.tried.remove(adapter).is_some();
        self.ran.insert(adapter.clone(), now);
        self.lacked.remove(adapter);
        self.brought_nothing = None;
        if is_new {
            self.brought = Some(now);
        }
        self.forget_old(now);
        is_new
    }
    /// the engine lacked it; says whether it was not seen to run there before
    pub fn on_lacked(&mut self, adapter: &AdapterRef, now: Instant) -> bool {
        self.tried.remove(adapter);
        // what it ran before was unloaded, which proves nothing of its sidecar
        let is_new = self.ran.remove(adapter).is_none();
        let brings = is_within(self.brought.as_ref(), BRINGS_NOTHING_FOR, now);
        if is_new && !brings {
            self.brought_nothing = Some(now);
        }
        self.lacked.insert(adapter.clone(), now);
        self.forget_old(now);
        is_new
    }
    pub fn lacks(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.lacked.get(adapter), LACKS_FOR, now)
    }
    pub fn ran_lately(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.ran.get(adapter), RAN_LATELY, now)
    }
    /// A first request shows whether the adapter is there; those that would go with it wait
    /// until it could have been turned away, or each of them would cost a repeat.
    pub fn is_being_tried(&self, adapter: &AdapterRef, now: Instant) -> bool {
        is_within(self.tried.get(adapter), TURNED_AWAY_WITHIN, now)
    }
    /// a demand has reached its sidecar, or has not
    pub fn on_demanded(&mut self, is_taken: bool) {
        self.is_deaf = !is_taken;
    }
    /// whether its sidecar may load what it is asked for, for all that is known
    pub fn may_bring(&self, now: Instant) -> bool {
        !self.is_deaf && !is_within(self.brought_nothing.as_ref(), BRINGS_NOTHING_FOR, now)
    }

    fn forget_old(&mut self, now: Instant) {
        self.ran
            .retain(|_, at| is_within(Some(at), RAN_LATELY, now));
        self.tried
            .retain(|_, at| is_within(Some(at), RAN_LATELY, now));
        self.lacked
            .retain(|_, at| is_within(Some(at), LACKS_FOR, now));
    }
}

fn is_within(at: Option<&Instant>, time: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < time)
}
