use std::time::{Duration, Instant};

/// Maximum sustained rate of log output, in bytes per second.
pub const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// Capacity of the token bucket, in bytes.
const BURST_BYTES: f64 = 2.0 * BYTES_PER_SECOND;
/// Fraction of the burst that is reserved for warnings and errors.
const RESERVED_FRACTION: f64 = 0.5;

/// Token bucket that bounds a process's log output. Warnings and errors are dropped last.
#[derive(Debug)]
pub struct LineBudget {
    available_bytes: f64,
    refilled_at: Instant,
    dropped: u64,
}

impl LineBudget {
    pub fn new(now: Instant) -> Self {
        Self {
            available_bytes: BURST_BYTES,
            refilled_at: now,
            dropped: 0,
        }
    }

    /// Takes the bytes of a line from the budget, or counts the line as dropped and returns
    /// false.
    pub fn try_take(&mut self, bytes: usize, is_failure: bool, now: Instant) -> bool {
        self.refill(now);
        let reserved = match is_failure {
            true => 0.0,
            false => BURST_BYTES * RESERVED_FRACTION,
        };
        if self.available_bytes - (bytes as f64) < reserved {
            self.dropped += 1;
            return false;
        }
        self.available_bytes -= bytes as f64;
        true
    }
    /// Counts lines that were within the budget but could not be queued.
    pub fn add_dropped(&mut self, lines: u64) {
        self.dropped += lines;
    }
    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refilled = self.available_bytes
            + elapsed.min(Duration::from_secs(10)).as_secs_f64() * BYTES_PER_SECOND;
        self.available_bytes = refilled.min(BURST_BYTES);
    }
}
