use std::{
    mem,
    time::{Duration, Instant},
};

/// Smoothing time, short enough to follow a crowd.
const SMOOTHING_TIME: Duration = Duration::from_millis(500);

/// Requests that a process reads and completes, and connections that it closes unread.
#[derive(Debug)]
pub struct RequestRates {
    window_began: Instant,
    read_in_window: u32,
    closed_in_window: u32,
    ended_in_window: u32,
    /// Requests that were read and have not ended.
    in_flight: u32,
    /// Requests read per second in the last window.
    latest_read: f64,
    /// Smoothed, per second.
    read: f64,
    closed: f64,
    ended: f64,
}

impl RequestRates {
    pub fn new(now: Instant) -> Self {
        Self {
            window_began: now,
            read_in_window: 0,
            closed_in_window: 0,
            ended_in_window: 0,
            in_flight: 0,
            latest_read: 0.0,
            read: 0.0,
            closed: 0.0,
            ended: 0.0,
        }
    }

    /// Counts a request that is read, or a connection whose first request is.
    pub fn on_read(&mut self) {
        self.read_in_window += 1;
    }
    pub fn on_closed_unread(&mut self) {
        self.closed_in_window += 1;
    }
    pub fn on_request_began(&mut self) {
        self.in_flight += 1;
    }
    pub fn on_request_ended(&mut self) {
        self.ended_in_window += 1;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Ends a window and returns its duration.
    pub fn end_window(&mut self, now: Instant) -> Duration {
        let window = now.saturating_duration_since(self.window_began);
        self.window_began = now;
        let seconds = window.as_secs_f64().max(f64::EPSILON);
        self.latest_read = f64::from(self.read_in_window) / seconds;
        let update = |count: &mut u32, rate: &mut f64| {
            let latest = f64::from(mem::take(count)) / seconds;
            smooth(rate, latest, window, SMOOTHING_TIME);
        };
        update(&mut self.read_in_window, &mut self.read);
        update(&mut self.closed_in_window, &mut self.closed);
        update(&mut self.ended_in_window, &mut self.ended);
        window
    }

    /// Returns the requests read per second.
    pub fn read(&self) -> f64 {
        self.read
    }
    /// Returns the requests read per second, where they have just become more.
    pub fn rising_read(&self) -> f64 {
        self.read.max(self.latest_read)
    }
    /// Returns the requests per second that would be read without a limit.
    pub fn wished(&self) -> f64 {
        self.read + self.closed
    }
    /// Returns the requests that ended per second.
    pub fn ended(&self) -> f64 {
        self.ended
    }

    /// Returns the mean time for which a request is in flight, by Little's law.
    pub fn mean_duration(&self) -> Duration {
        Duration::from_secs_f64(f64::from(self.in_flight) / self.ended.max(1.0))
    }
}

/// Moves a smoothed value towards that of the last window.
pub fn smooth(value: &mut f64, latest: f64, window: Duration, time: Duration) {
    let weight = 1.0 - (-window.as_secs_f64() / time.as_secs_f64()).exp();
    *value += (latest - *value) * weight;
}
