use {crate::watch::WatchPacing, std::time::Duration};

// Fractions of the time within which a change must be known everywhere: the wait of one watch of
// the store, the pause after a change of the list, and the time without a response of the store
// after which a relay's data counts as stale. What remains after `STALE_FRACTION` is left for the
// entry's direct call to the store.
const WATCH_WAIT_FRACTION: f64 = 0.3;
const CHANGE_PAUSE_FRACTION: f64 = 0.2;
const STALE_FRACTION: f64 = 0.6;
// Fractions of that time: over which the relays of a fleet spread their reads of the whole list after
// the store was restored, and for which an entry waits for the list of its relay then.
const RESTORE_SPREAD_FRACTION: f64 = 0.05;
const RESTORED_LIST_WAIT_FRACTION: f64 = 0.3;
/// Fraction of that time for which an entry whose direct call failed leaves the calls to its relay.
const DIRECT_CALL_PAUSE_FRACTION: f64 = 0.25;

/// Intervals at which a relay reads the store. They are short enough that entries notice
/// a relay that lost the store and call the store directly within the propagation limit.
#[derive(Debug, Clone, Copy)]
pub struct RelayPacing {
    /// Maximum time until all entries know a change of the back ends or of the
    /// configuration.
    pub propagation_limit: Duration,
}

impl RelayPacing {
    /// Returns how long one watch of the store waits for a change.
    pub fn watch_wait(&self) -> Duration {
        self.propagation_limit.mul_f64(WATCH_WAIT_FRACTION)
    }
    pub fn watch_pacing(&self) -> WatchPacing {
        WatchPacing::with_hold(self.watch_wait())
    }
    /// Returns the pause of the watch after a change of the back ends.
    pub fn pause_after_change(&self) -> Duration {
        self.propagation_limit.mul_f64(CHANGE_PAUSE_FRACTION)
    }
    /// Returns the pause of a relay before it reads the whole list of a restored store; `jitter` is
    /// between 0 and 1.
    pub fn pause_after_restore(&self, jitter: f64) -> Duration {
        self.propagation_limit
            .mul_f64(RESTORE_SPREAD_FRACTION * jitter)
    }
    /// Returns how long an entry waits for its relay to read a restored store.
    pub fn restored_list_wait(&self) -> Duration {
        self.propagation_limit.mul_f64(RESTORED_LIST_WAIT_FRACTION)
    }
    /// Returns the back-off of an entry after its direct call to the store failed.
    pub fn direct_call_pause(&self) -> Duration {
        self.propagation_limit.mul_f64(DIRECT_CALL_PAUSE_FRACTION)
    }
    /// Returns the time without a response of the store after which a relay reports that
    /// its records are stale.
    pub fn stale_after(&self) -> Duration {
        self.propagation_limit.mul_f64(STALE_FRACTION)
    }
}
