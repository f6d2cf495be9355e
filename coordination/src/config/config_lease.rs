use std::time::{Duration, Instant};

/// Fraction of the revocation time for which a configuration is relied on; the rest allows for
/// clocks that run at slightly different speeds.
const LEASE_FRACTION: f64 = 0.95;

/// Lease on the current configuration, for requests that carry API keys.
///
/// The lease bounds the time for which a revoked key is still accepted: it is valid only if the
/// configuration was known to be the newest within that time.
#[derive(Debug, Clone)]
pub struct ConfigLease {
    /// `None` if keys stay valid for as long as nothing newer is known.
    duration: Option<Duration>,
    current_at: Option<Instant>,
    /// Whether the newest configuration can't be parsed.
    is_unreadable: bool,
}

impl ConfigLease {
    /// `revoked_within` is the time after which a revoked key must be rejected, `None` if it is
    /// unbounded.
    pub fn new(revoked_within: Option<Duration>) -> Self {
        Self {
            duration: revoked_within.map(|within| within.mul_f64(LEASE_FRACTION)),
            current_at: None,
            is_unreadable: false,
        }
    }

    /// Records that the configuration in hand was the newest at this time.
    pub fn on_current(&mut self, at: Instant) {
        self.current_at = self.current_at.max(Some(at));
    }
    /// Records that a configuration was received, and whether it could be parsed.
    pub fn on_configuration(&mut self, is_readable: bool) {
        self.is_unreadable = !is_readable;
    }

    pub fn is_valid(&self, now: Instant) -> bool {
        let Some(duration) = self.duration else {
            return true;
        };
        let age = self.age(now);
        !self.is_unreadable && age.is_some_and(|age| age < duration)
    }
    /// Returns the time since the configuration in hand was known to be the newest.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let at = self.current_at?;
        Some(now.saturating_duration_since(at))
    }
}
