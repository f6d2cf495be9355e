use std::time::Duration;

/// pause after changes of the list in a small fleet; changes come in series
/// while adapters are loaded, and each call to the store has its price
const PAUSE_OF_FEW: Duration = Duration::from_millis(400);
/// entries with that pause; more of them pause longer, so that their calls
/// grow more slowly than they do
const FEW_ENTRIES: f64 = 4.0;
/// part of the time in which a leaving back end must be left alone that may
/// pass before this entry hears of it
const PART_OF_DRAIN: f64 = 0.4;
/// part of the store's reading calls that all entries together may use for it
const PART_OF_READS: f64 = 0.25;

/// how often an entry asks for changes of the list of back ends
#[derive(Debug, Clone)]
pub struct ListPacing {
    /// time after which a back end that leaves gets no more requests
    pub drain: Duration,
    /// reading calls that the store answers in a second, to all processes
    pub store_reads_per_s: f64,
}

impl ListPacing {
    /// the pause after a change was heard, with this many entries alive.
    ///
    /// The time to drain goes before the price of calls; the store's rate,
    /// without which nothing is heard, goes before both.
    pub fn pause(&self, entries: u32) -> Duration {
        let entries = f64::from(entries.max(1));
        let growth = (entries / FEW_ENTRIES).sqrt().max(1.0);
        let bound = self.drain.mul_f64(PART_OF_DRAIN);
        let shared = entries / (self.store_reads_per_s * PART_OF_READS).max(1.0);
        let pause = PAUSE_OF_FEW.mul_f64(growth).min(bound);
        pause.max(Duration::from_secs_f64(shared))
    }
}
