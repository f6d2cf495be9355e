use {chalkcart_state::accounts::RateLimit, std::time::Duration};

/// Fraction of the tolerance that is always granted, so that stale levels don't cause
/// rejections of requests within the limit.
const GRANTED_TOLERANCE: f64 = 0.15;
/// Fraction of the tolerance that the sum of a window may use, so that a window that begins
/// with a burst doesn't end with a pause. The remainder, 0.9 times the rate per second with the
/// documented settings, absorbs what runs before an overshoot is known.
const WINDOW_TOLERANCE: f64 = 0.5;

/// Fractions of the tolerance and of the slack by which the entries' own shares may hold more
/// than the burst in total: a share of the burst of a small account is less than one request.
/// With 0.15 of the tolerance, windows of large accounts exceeded their bound in the
/// simulation of `limit_cuts.rs`.
const OWN_SHARE_TOLERANCE: f64 = 0.07;
const OWN_SHARE_SLACK: f64 = 0.5;

/// How exactly the fleet enforces the limits of client accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// In each window, at most (rate x window + burst) x (1 + overage) + slack may run.
    pub window: Duration,
    pub overage: f64,
    /// In units of the limit.
    pub slack: f64,
    /// Without a recent level, an entry uses its share by the demand last known; otherwise
    /// an equal share.
    pub is_share_by_demand: bool,
}

/// What the fleet lets one account run, in units of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// Configured rate in units per second.
    pub granted_per_s: f64,
    /// Units per second under sustained overload: the rate plus one burst per window.
    pub steady_per_s: f64,
    /// Units that may run at once.
    pub burst: f64,
    /// Units that may run in one window.
    pub per_window: f64,
    /// Additional units that the entries' own shares may hold in total while there is no
    /// aggregator, if the account was within its limit before.
    pub own_share_extra: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
            is_share_by_demand: true,
        }
    }
}

impl LimitSettings {
    pub fn bounds(&self, limit: &RateLimit) -> LimitBounds {
        let window_s = self.window.as_secs_f64();
        let granted = limit.per_s * window_s + limit.burst;
        let tolerance = self.overage * granted + self.slack;
        let granted_tolerance = GRANTED_TOLERANCE * tolerance;
        LimitBounds {
            granted_per_s: limit.per_s,
            steady_per_s: (granted + granted_tolerance) / window_s,
            burst: limit.burst + granted_tolerance,
            per_window: granted + WINDOW_TOLERANCE * tolerance,
            own_share_extra: match self.is_share_by_demand {
                true => OWN_SHARE_TOLERANCE * tolerance + OWN_SHARE_SLACK * self.slack,
                false => 0.0,
            },
        }
    }
}
