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
}
