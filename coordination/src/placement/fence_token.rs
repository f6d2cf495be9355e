/// distance by which a refused token is raised
const RAISE: u64 = 60_000;

/// the fencing token of one life of a sidecar.
///
/// It starts from the clock, so that a later life is higher. The clock may
/// have stood ahead during an earlier life: entries remember the token of that
/// life and tell it with their needs, before the first order; and an engine
/// that compares tokens refuses a lower one, which is raised, never repeated.
#[derive(Debug, Clone)]
pub struct FenceToken {
    value: u64,
}

impl FenceToken {
    /// `clock_ms` is the time of day at the start, in ms since the epoch
    pub fn new(clock_ms: u64) -> Self {
        Self { value: clock_ms }
    }
    pub fn value(&self) -> u64 {
        self.value
    }
    /// an earlier life of this sidecar has used `seen`
    pub fn on_seen(&mut self, seen: u64) {
        if seen > self.value {
            self.value = seen + 1;
        }
    }
    /// the engine has seen a higher one than `refused`
    pub fn on_refused(&mut self, refused: u64) {
        self.value = self.value.max(refused + RAISE);
    }
}
