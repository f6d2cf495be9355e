use std::time::{Duration, Instant};

/// Time after the store's return in which back ends whose records lapsed write them again, and
/// this entry reads them. One that is missing after it is gone.
pub(super) const RETURN_TIME: Duration = Duration::from_secs(3);

/// Whether the list of back ends may lack some that run: their records lapse while the store does
/// not hear them, and a restored store may be older than they are.
#[derive(Debug, Clone, Copy, Default)]
pub(super) enum ListSource {
    #[default]
    Available,
    Away,
    /// Read again, or restored, since this time.
    Returned(Instant),
}

impl ListSource {
    /// Records whether the list can be read.
    pub(super) fn set_available(&mut self, is_available: bool, now: Instant) {
        *self = match (is_available, *self) {
            (false, _) => Self::Away,
            (true, Self::Away) => Self::Returned(now),
            (true, known) => known,
        };
    }

    /// Records the first list of a restored store.
    pub(super) fn on_restored(&mut self, now: Instant) {
        *self = Self::Returned(now);
    }

    pub(super) fn may_lack_running(&self, now: Instant) -> bool {
        match self {
            Self::Available => false,
            Self::Away => true,
            Self::Returned(at) => now.saturating_duration_since(*at) < RETURN_TIME,
        }
    }
}
