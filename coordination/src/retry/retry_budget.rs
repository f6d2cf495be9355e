const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries that may accumulate.
const MAX_RETRIES: f64 = 50.0;

/// Limits retries to a fraction of the requests, so that they don't amplify an overload.
#[derive(Debug)]
pub struct RetryBudget {
    retries: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            retries: MAX_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for a new request.
    pub fn on_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }
    /// Takes one retry; returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}
