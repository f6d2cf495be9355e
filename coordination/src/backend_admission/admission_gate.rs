use std::time::{Duration, Instant};

/// A condition that holds requests back from a back end.
///
/// Gates are independent of each other. The dispatcher checks all of them in one place, so that
/// a new gate needs one file and one line there.
pub trait AdmissionGate {
    /// Returns the code of this gate in logs and metrics.
    fn code(&self) -> &'static str;
    /// Returns `None` if one more request may be sent now, else the estimated time until one
    /// may.
    fn closed_for(&self, now: Instant) -> Option<Duration>;
}
