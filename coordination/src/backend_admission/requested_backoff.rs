use {
    super::AdmissionGate,
    crate::dispatch::SendOutcome,
    std::time::{Duration, Instant},
};

/// The rest that a back end has asked for, and the one request that shows whether it is over.
///
/// All that waits for the end of a rest would come at once, and be turned away at once
/// where the back end is still full: each of them costs a repeat of the service's budget.
#[derive(Debug, Clone, Default)]
pub struct RequestedBackoff {
    until: Option<Instant>,
    /// the first request after the rest is on its way
    is_tried: bool,
}

impl RequestedBackoff {
    /// it wants nothing before this moment; none if it asked for no rest
    pub fn set_until(&mut self, until: Option<Instant>) {
        if until.is_some() {
            self.until = until;
        }
    }
    /// nothing may be sent there
    pub fn is_on(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
    /// nothing more is sent until the first request after the rest has begun to run
    pub fn allows_one(&self, now: Instant) -> bool {
        !self.is_on(now) && !self.is_tried
    }
    /// says whether this request is the one that shows it
    pub fn on_sent(&mut self) -> bool {
        let is_trial = self.until.is_some() && !self.is_tried;
        self.is_tried |= is_trial;
        is_trial
    }
    /// the request that shows it has begun to run
    pub fn on_trial_started(&mut self, now: Instant) {
        if !self.is_on(now) {
            *self = Self::default();
        }
    }
    pub fn on_trial_ended(&mut self, outcome: SendOutcome, now: Instant) {
        self.is_tried = false;
        // it lacks an adapter, and is not full
        let has_answered = matches!(outcome, SendOutcome::Answered | SendOutcome::Misdirected);
        if has_answered {
            self.on_trial_started(now);
        }
    }
}

impl AdmissionGate for RequestedBackoff {
    fn code(&self) -> &'static str {
        "resting"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        // while the first request after the rest is on its way, nobody knows for how long
        (!self.allows_one(now)).then(|| self.left(now).unwrap_or_default())
    }
}
