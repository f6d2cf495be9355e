use {chalkcart_state::accounts::RateLimit, std::time::Duration};

/// Parts of the tolerance, (rate x window + burst) x overage + slack, that are used.
///
/// The first is given out all the time, so that nothing is refused which is due: what
/// entries know of each other is late and rounded. The second may fill a window whose
/// burst came first, so that no pause must follow it. The rest, 0.9 of a rate on the
/// pages, is for what runs before an overshoot is known.
const GIVEN_PART: f64 = 0.15;
const FILLED_PART: f64 = 0.5;

/// how exactly the fleet must hold the limits of client accounts
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitSettings {
    /// in each window, at most (rate x window + burst) x (1 + overage) + slack runs
    pub window: Duration,
    pub overage: f64,
    /// units
    pub slack: f64,
}

/// what the fleet lets an account run, in units of its limit
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBounds {
    /// units a second that the account was granted
    pub granted_per_s: f64,
    /// units a second when it asks for more all the time: its rate, and its burst once
    /// in each window
    pub steady_per_s: f64,
    /// units at once
    pub burst: f64,
    /// units in each window
    pub per_window: f64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl LimitSettings {
    pub fn bounds(&self, limit: &RateLimit) -> LimitBounds {
        let window_s = self.window.as_secs_f64();
        let granted = limit.per_s * window_s + limit.burst;
        let tolerance = self.overage * granted + self.slack;
        let given = GIVEN_PART * tolerance;
        LimitBounds {
            granted_per_s: limit.per_s,
            steady_per_s: (granted + given) / window_s,
            burst: limit.burst + given,
            per_window: granted + FILLED_PART * tolerance,
        }
    }
}
