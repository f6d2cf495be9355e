use std::time::{Duration, Instant};

/// Measures the pauses between the frames of a body.
#[derive(Debug, Default)]
pub struct FramePauses {
    last_frame_at: Option<Instant>,
    longest: Duration,
}

impl FramePauses {
    pub fn on_frame(&mut self, now: Instant) {
        if let Some(last) = self.last_frame_at {
            self.longest = self.longest.max(now.saturating_duration_since(last));
        }
        self.last_frame_at = Some(now);
    }

    pub fn longest(&self) -> Duration {
        self.longest
    }
}
