use std::time::{Duration, Instant};

/// bytes of lines a second that a process writes
pub const BYTES_PER_SECOND: f64 = 64.0 * 1024.0;
/// bytes that may be written at once after a quiet time
const BURST_BYTES: f64 = 2.0 * BYTES_PER_SECOND;
/// the part of the burst that only warnings and errors may use
const RESERVED_PART: f64 = 0.5;

/// bounds what a process logs; failures are the last to be left out
#[derive(Debug)]
pub struct LineBudget {
    bytes: f64,
    filled_at: Instant,
    left_out: u64,
}

impl LineBudget {
    pub fn new(now: Instant) -> Self {
        Self {
            bytes: BURST_BYTES,
            filled_at: now,
            left_out: 0,
        }
    }

    /// whether a line may be written; one that may not is counted
    pub fn take(&mut self, bytes: usize, is_failure: bool, now: Instant) -> bool {
        self.fill(now);
        let reserved = match is_failure {
            true => 0.0,
            false => BURST_BYTES * RESERVED_PART,
        };
        if self.bytes - (bytes as f64) < reserved {
            self.left_out += 1;
            return false;
        }
        self.bytes -= bytes as f64;
        true
    }
    /// lines that were allowed, or a count of them, could not be handed on
    pub fn put_back(&mut self, lines: u64) {
        self.left_out += lines;
    }
    /// lines left out since the last call
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        let filled =
            self.bytes + passed.min(Duration::from_secs(10)).as_secs_f64() * BYTES_PER_SECOND;
        self.bytes = filled.min(BURST_BYTES);
    }
}
