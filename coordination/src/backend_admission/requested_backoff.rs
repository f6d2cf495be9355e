use {
    super::AdmissionGate,
    crate::dispatch::SendOutcome,
    std::time::{Duration, Instant},
};

/// Back-off that a back end requested, followed by a single probe request.
///
/// Sending all waiting requests when the back-off ends would overload a back end that is still
/// full, and each refusal would use up retry budget.
#[derive(Debug, Clone, Default)]
pub struct RequestedBackoff {
    until: Option<Instant>,
    /// Whether the probe request is in flight.
    is_probing: bool,
}

impl RequestedBackoff {
    /// Sets the end of the back-off; `None` leaves it unchanged.
    pub fn set_until(&mut self, until: Option<Instant>) {
        if until.is_some() {
            self.until = until;
        }
    }
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
    /// Returns whether one more request may be sent: not during the back-off, nor while the
    /// probe request hasn't started to run.
    pub fn admits_request(&self, now: Instant) -> bool {
        !self.is_active(now) && !self.is_probing
    }
    /// Records a request that is sent, and returns whether it is the probe.
    pub fn on_request_sent(&mut self) -> bool {
        let is_probe = self.until.is_some() && !self.is_probing;
        self.is_probing |= is_probe;
        is_probe
    }
    /// Ends the back-off, as the probe request has started to run.
    pub fn on_probe_started(&mut self, now: Instant) {
        if !self.is_active(now) {
            *self = Self::default();
        }
    }
    pub fn on_probe_ended(&mut self, outcome: SendOutcome, now: Instant) {
        self.is_probing = false;
        // a misdirected request lacked its adapter: the back end isn't full
        let has_responded = matches!(
            outcome,
            SendOutcome::Answered | SendOutcome::Closed | SendOutcome::Misdirected
        );
        if has_responded {
            self.on_probe_started(now);
        }
    }
}

impl AdmissionGate for RequestedBackoff {
    fn code(&self) -> &'static str {
        "resting"
    }
    fn closed_for(&self, now: Instant) -> Option<Duration> {
        // zero while the probe is in flight, since its duration isn't known
        (!self.admits_request(now)).then(|| self.remaining(now).unwrap_or_default())
    }
}
