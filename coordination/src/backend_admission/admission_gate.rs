use std::time::{Duration, Instant};

/// One of the reasons for which a back end is sent nothing more for a while.
///
/// A reason keeps its own state and knows nothing of the others. Whoever chooses a back end asks
/// all of them in one place (`BackendState::closed_by`), so a new reason is a file of its own and
/// a line there.
pub trait AdmissionGate {
    /// the word in logs and metrics
    fn code(&self) -> &'static str;
    /// none if one more request may be sent now; else the time until one may, as far as is
    /// known
    fn closed_for(&self, now: Instant) -> Option<Duration>;
}
