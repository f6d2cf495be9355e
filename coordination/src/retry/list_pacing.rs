use std::time::Duration;

/// Pause after a change of the list in a small fleet. Changes come in series while adapters
/// load, and a pause combines several into one call.
const SMALL_FLEET_PAUSE: Duration = Duration::from_millis(400);
/// Size of a small fleet, in entries. Above it the pause grows with the square root of the
/// number of entries, so that the calls of all of them grow more slowly than the fleet.
const SMALL_FLEET_ENTRIES: f64 = 4.0;
/// Fraction of the drain time of a leaving back end that may pass before this entry learns of
/// it.
const MAX_DRAIN_FRACTION: f64 = 0.4;
/// Fraction of the store's read rate that the list requests of all entries may use.
const READS_FRACTION: f64 = 0.25;

/// Back ends in one page of the list.
const BACKENDS_PER_READ: f64 = 500.0;
/// Fraction of the drain time over which the entries of a large fleet may read the whole list again.
const MAX_RESTORE_FRACTION: f64 = 0.3;

/// Pace at which an entry requests changes of the list of back ends.
#[derive(Debug, Clone)]
pub struct ListPacing {
    /// Time after which a leaving back end receives no more requests.
    pub drain: Duration,
    /// Reads per second that the store serves to all processes.
    pub store_reads_per_s: f64,
}

impl ListPacing {
    /// Returns the pause after a change, with this many live entries.
    ///
    /// The drain time bounds the pause from above; the store's read rate bounds it from below
    /// and takes precedence.
    pub fn pause(&self, entries: u32) -> Duration {
        let entries = f64::from(entries.max(1));
        let growth = (entries / SMALL_FLEET_ENTRIES).sqrt().max(1.0);
        let max_pause = self.drain.mul_f64(MAX_DRAIN_FRACTION);
        let min_pause_s = entries / (self.store_reads_per_s * READS_FRACTION).max(1.0);
        let pause = SMALL_FLEET_PAUSE.mul_f64(growth).min(max_pause);
        pause.max(Duration::from_secs_f64(min_pause_s))
    }

    /// Returns the pause before the whole list is read again after the store was restored, which
    /// all entries notice at once. The pauses of `entries` entries spread their reads so that they
    /// stay within the entries' part of the store's read rate, if the drain time allows.
    pub fn pause_after_restore(&self, entries: u32, backends: usize, jitter: f64) -> Duration {
        let pages = (backends as f64 / BACKENDS_PER_READ).ceil().max(1.0);
        let reads = f64::from(entries.max(1)) * pages;
        let spread_s = reads / (self.store_reads_per_s * READS_FRACTION).max(1.0);
        let max_spread = self.drain.mul_f64(MAX_RESTORE_FRACTION);
        let spread = Duration::from_secs_f64(spread_s).min(max_spread);
        spread.mul_f64(jitter)
    }
}
