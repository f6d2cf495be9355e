use std::time::{Duration, Instant};

/// Time for which unused tokens are kept: a process may be stopped for a part of each 0.1 s by a
/// quota of the kernel.
const BURST: Duration = Duration::from_millis(100);
/// Connections closed unread for each request that may be read; closing one costs a small part of
/// serving a request.
const CLOSED_PER_READ: f64 = 4.0;
/// Time that connections may wait in the queue of the socket.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(200);

/// Spreads the requests that may be read, and the connections that may be closed unread, evenly
/// over time.
#[derive(Debug)]
pub struct AdmissionTokens {
    /// Requests per second.
    rate: f64,
    refilled_at: Instant,
    /// Requests that may be read now; negative after requests on open connections.
    to_read: f64,
    /// Connections that may be closed unread now.
    to_close: f64,
}

impl AdmissionTokens {
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            refilled_at: now,
            to_read: 0.0,
            to_close: 0.0,
        }
    }

    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
    }

    /// Takes the token of a request on a new connection; returns false if there is none.
    pub fn try_read(&mut self, now: Instant) -> bool {
        self.refill(now);
        let has_token = self.to_read >= 1.0;
        if has_token {
            self.to_read -= 1.0;
        }
        has_token
    }

    /// Takes the token of a request that is read in any case.
    pub fn read(&mut self) {
        self.to_read -= 1.0;
    }

    /// Takes the token of a connection that is closed unread.
    pub fn close(&mut self) {
        self.to_close -= 1.0;
    }

    /// Returns whether requests on open connections alone are more than the rate.
    pub fn is_overdrawn(&self) -> bool {
        self.to_read < -self.most()
    }

    /// Returns how many connections may be taken from the queue of the socket now.
    pub fn acceptable(&mut self, now: Instant) -> usize {
        self.refill(now);
        let most = self.to_read.max(0.0) + self.to_close.max(0.0);
        most as usize
    }

    /// Returns how many connections may wait in the queue of the socket, so that none of their
    /// clients leaves before.
    pub fn queue_length(&self) -> usize {
        let accepted = self.rate * (1.0 + CLOSED_PER_READ);
        (accepted * MAX_QUEUE_TIME.as_secs_f64()).ceil() as usize
    }

    fn most(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let (most, refilled) = (self.most(), self.rate * elapsed.as_secs_f64());
        // a debt is paid within a second
        let least = -self.rate.max(1.0);
        self.to_read = (self.to_read + refilled).clamp(least, most);
        self.to_close = (self.to_close + refilled * CLOSED_PER_READ).min(most * CLOSED_PER_READ);
    }
}
