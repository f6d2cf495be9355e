use {crate::watch::WatchPacing, std::time::Duration};

/// parts of the time within which all must know a change: the wait of one watch
/// of the store, the pause after a change of the list, and the time without an
/// answer after which a relay no longer speaks for the store. The rest is for the
/// entry's own call
const WAIT_PART: f64 = 0.3;
const PAUSE_PART: f64 = 0.2;
const STALE_PART: f64 = 0.6;
/// part of it in which an entry whose own call failed leaves the asking to its relay
const OWN_CALL_PART: f64 = 0.25;

/// How often a relay asks the store. A relay that is cut off from it silently
/// must be found out soon enough for its entries to ask the store themselves.
#[derive(Debug, Clone, Copy)]
pub struct RelayPacing {
    /// time within which a change of the list or of the configuration must be
    /// known to all
    pub known_within: Duration,
}

impl RelayPacing {
    pub fn watch_wait(&self) -> Duration {
        self.known_within.mul_f64(WAIT_PART)
    }
    /// how a relay follows the store
    pub fn follow(&self) -> WatchPacing {
        WatchPacing::with_hold(self.watch_wait())
    }
    pub fn pause_after_change(&self) -> Duration {
        self.known_within.mul_f64(PAUSE_PART)
    }
    pub fn own_call_pause(&self) -> Duration {
        self.known_within.mul_f64(OWN_CALL_PART)
    }
    pub fn stale_after(&self) -> Duration {
        self.known_within.mul_f64(STALE_PART)
    }
}
