use {
    chalkcart_state::ingress::PartId,
    std::{
        ops::RangeInclusive,
        time::{Duration, Instant},
    },
};

/// When a back end crashes under a request that crashes it. The request's id decides, so that a run
/// can be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashMoment {
    /// Time from the bytes written before it, in ms; from the arrival where there are none.
    pub delay_ms: RangeInclusive<u64>,
    /// Such requests, of 100, of whose responses nothing is written.
    pub silent_percent: u64,
    /// Such requests, of 100, that are served.
    pub spared_percent: u64,
}

impl Default for CrashMoment {
    fn default() -> Self {
        Self {
            delay_ms: 20..=20,
            silent_percent: 0,
            spared_percent: 0,
        }
    }
}

impl CrashMoment {
    pub fn is_spared(&self, request: &str) -> bool {
        draw(request, "spared") % 100 < self.spared_percent
    }
    pub fn is_silent(&self, request: &str) -> bool {
        draw(request, "silent") % 100 < self.silent_percent
    }
    pub fn delay(&self, request: &str) -> Duration {
        let (shortest, longest) = (*self.delay_ms.start(), *self.delay_ms.end());
        let beyond = draw(request, "delay") % (longest - shortest + 1);
        Duration::from_millis(shortest + beyond)
    }
}

/// Returns a number that depends on a request and on what it decides.
fn draw(request: &str, purpose: &str) -> u64 {
    PartId::of(&format!("{purpose} of {request}")).0
}

/// A crash that a request caused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CausedCrash {
    pub at: Instant,
    pub request: String,
}
