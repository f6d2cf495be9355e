/// Increment over a refused token, in ms.
const INCREMENT_MS: u64 = 60_000;

/// The fencing token of one incarnation of a sidecar.
///
/// The token starts at the time of day, so that a later incarnation has a higher
/// one. If the clock has gone back since, the token is raised in two ways: entries
/// send the highest token they have seen with their demands, before the first order,
/// and a token that the engine refuses is raised and never used again.
#[derive(Debug, Clone)]
pub struct FenceToken {
    value: u64,
}

impl FenceToken {
    /// `clock_ms` is the time of day at the start, in ms since the Unix epoch.
    pub fn new(clock_ms: u64) -> Self {
        Self { value: clock_ms }
    }
    pub fn value(&self) -> u64 {
        self.value
    }
    /// Raises the token above `seen`, which an earlier incarnation has used.
    pub fn on_seen(&mut self, seen: u64) {
        if seen > self.value {
            self.value = seen + 1;
        }
    }
    /// Raises the token well above `refused`: the engine has seen a higher one.
    pub fn on_refused(&mut self, refused: u64) {
        self.value = self.value.max(refused + INCREMENT_MS);
    }
}
