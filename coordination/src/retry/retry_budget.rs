/// retries allowed for each request served
const RETRIES_PER_REQUEST: f64 = 0.2;
/// retries that may be saved up
const MAX_SAVED: f64 = 50.0;

/// keeps retries a small part of the traffic, so that they don't feed an
/// overload
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// a new request came in
    pub fn on_request(&mut self) {
        self.saved = (self.saved + RETRIES_PER_REQUEST).min(MAX_SAVED);
    }
    /// take one retry; false if none is left
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
