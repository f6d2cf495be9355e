use {
    super::{
        account_state::AMPLE_FRACTION, aged_share::aged_share, fraction_credit::FractionCredit,
        LimitBounds, LimitSettings, TokenBucket, WindowSum,
    },
    chalkcart_protocol::peer::{AccountLevel, AccountUsage},
    chalkcart_state::{accounts::AccountFingerprint, ids::Incarnation},
    std::time::{Duration, Instant},
};

/// A level from the aggregator is valid for this long; afterwards the entry keeps to its
/// own share of the limit.
const LEVEL_VALID_FOR: Duration = Duration::from_millis(900);
/// Time in which unused units are granted and overuse is paid back, in seconds. Longer
/// than a change takes to reach all entries.
const CORRECTION_TIME_S: f64 = 1.0;
/// Fraction of its equal share of a burst that an entry may use before the first response of an
/// aggregator. The usage before its start is unknown, and entries that restart repeatedly
/// must not get a burst each time.
const INITIAL_BURST_FRACTION: f64 = 0.25;

/// Interval at which the rate of an aging share is set again.
const SHARE_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// How far an entry that has just started may rely on its aggregator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartupState {
    /// The aggregator may not have the demand of the other entries.
    Unsynced,
    /// The aggregator has the demand, but may not know the usage before a restart.
    Warmup,
    Ready,
}

/// State of one account's limit at one entry.
#[derive(Debug)]
pub(super) struct SharedBucket {
    /// Bounds for the whole fleet.
    bounds: LimitBounds,
    /// Units charged here since the start, without those of requests that did not run.
    charged: i64,
    /// Units charged here in the window.
    charged_in_window: WindowSum,
    window: Duration,
    /// Units requested here since the start.
    requested: i64,
    /// Both counters as last acknowledged by an aggregator.
    acked_charged: i64,
    acked_requested: i64,
    /// The aggregator that has received this account's usage.
    reported_to: Option<Incarnation>,
    received: Option<ReceivedLevel>,
    /// When an aggregator last acknowledged the counters; at first, the start.
    acked_at: Instant,
    /// The entry's share of the limit, used without an aggregator.
    own_share: TokenBucket,
    /// Whether that share follows the demand last known; otherwise it is an equal part.
    is_share_by_demand: bool,
    entries: u32,
    /// The share that an aggregator last returned, as a fraction of the limit.
    returned_share: Option<(f64, Instant)>,
    share_refreshed_at: Instant,
    /// The part of the burst that was left when the last level was received; zero for an
    /// account that is at its limit.
    unused_fraction: f64,
    /// When a request last arrived.
    pub(super) last_request_at: Option<Instant>,
    /// Admits requests while the level is low.
    admitted: FractionCredit,
    /// Of these, the requests within the account's share.
    within_share: FractionCredit,
    /// Between 0 and 1, different at each entry; see `FractionCredit`.
    phase: f64,
    /// Earliest retry of the next rejected request, so that retries are spread out.
    pub(super) next_retry_at: Instant,
}

/// Level of an account as returned by an aggregator.
#[derive(Debug)]
struct ReceivedLevel {
    level: f64,
    demand_per_s: f64,
    /// Fraction of the limit that the aggregator grants to the entries that report to it.
    granted: f64,
    /// Units charged here that the level accounts for.
    charged: i64,
    at: Instant,
}

impl SharedBucket {
    pub fn new(
        bounds: LimitBounds,
        entries: u32,
        phase: f64,
        settings: &LimitSettings,
        now: Instant,
    ) -> Self {
        let fraction = 1.0 / f64::from(entries.max(1));
        let (rate_per_s, capacity) = (bounds.granted_per_s * fraction, bounds.burst * fraction);
        let mut own_share = TokenBucket::new(rate_per_s, capacity, now);
        own_share.set_level(capacity * INITIAL_BURST_FRACTION, now);
        Self {
            bounds,
            charged: 0,
            charged_in_window: WindowSum::default(),
            window: settings.window,
            requested: 0,
            acked_charged: 0,
            acked_requested: 0,
            reported_to: None,
            received: None,
            acked_at: now,
            own_share,
            is_share_by_demand: settings.is_share_by_demand,
            entries,
            returned_share: None,
            share_refreshed_at: now,
            unused_fraction: 0.0,
            last_request_at: None,
            admitted: FractionCredit::new(phase),
            within_share: FractionCredit::new(phase),
            phase,
            next_retry_at: now,
        }
    }

    /// Applies a changed limit or number of entries.
    pub fn set_bounds(&mut self, bounds: LimitBounds, entries: u32, now: Instant) {
        self.bounds = bounds;
        self.entries = entries;
        self.refresh_share(now);
    }

    /// Sets the rate and the capacity of the own share.
    fn refresh_share(&mut self, now: Instant) {
        let fraction = self.share_fraction(now);
        let unused = self.unused_fraction;
        let steady_extra = self.bounds.steady_per_s - self.bounds.granted_per_s;
        let rate_per_s = self.bounds.granted_per_s + unused * steady_extra;
        let capacity = self.bounds.burst + unused * self.bounds.own_share_extra;
        self.own_share
            .set_bounds(rate_per_s * fraction, capacity * fraction, now);
        self.share_refreshed_at = now;
    }

    pub fn bounds(&self) -> LimitBounds {
        self.bounds
    }

    /// Returns the age of the aggregator's level, or `None` if no valid level is known.
    pub fn level_age(&self, now: Instant) -> Option<Duration> {
        let received = self.received.as_ref()?;
        let age = now.saturating_duration_since(received.at);
        (age <= LEVEL_VALID_FOR).then_some(age)
    }

    /// Returns the units that the fleet may run now: the last level, less what this entry
    /// has charged since. The refill and the usage of other entries since then count with
    /// the next level.
    pub fn fleet_level(&self, now: Instant) -> Option<f64> {
        self.level_age(now)?;
        let received = self.received.as_ref()?;
        Some(received.level - (self.charged - received.charged) as f64)
    }

    /// Counts a request towards the demand, whether or not it is admitted.
    pub fn record_request(&mut self, charge: u64, now: Instant) {
        self.requested += charge as i64;
        self.last_request_at = Some(now);
    }

    /// Charges a request if it may run, and returns whether it may.
    ///
    /// While the level is ample, each request may run. While it is low, each entry admits
    /// the same fraction of its requests: what the limit allows, divided by the demand at all
    /// entries. Without a valid level an entry keeps to its own share of the limit.
    ///
    /// During start-up no level counts as ample, since the aggregator may have restarted
    /// as well.
    pub fn try_charge(&mut self, charge: u64, startup: StartupState, now: Instant) -> bool {
        let units = charge as f64;
        let since_refresh = now.saturating_duration_since(self.share_refreshed_at);
        if self.is_share_by_demand && since_refresh >= SHARE_REFRESH_INTERVAL {
            self.refresh_share(now);
        }
        let level = self
            .fleet_level(now)
            .filter(|_| startup != StartupState::Unsynced);
        let is_starting = startup != StartupState::Ready;
        let may_run = match (level, self.demand_per_s(now)) {
            (Some(level), _) if self.is_ample(level) && !is_starting => true,
            // the bucket of an aggregator that has just started may be too full
            (Some(level), Some(demand_per_s)) if is_starting => {
                self.take_credit(units, level.min(0.0), demand_per_s)
            }
            (Some(level), Some(demand_per_s)) => self.take_credit(units, level, demand_per_s),
            (Some(level), None) if !is_starting => level > 0.0,
            _ => self.own_share.level(now) > self.phase * self.own_share_quantum(units),
        };
        if may_run {
            self.charged += charge as i64;
            self.charged_in_window.add(units, self.window, now);
            self.own_share.spend(units, now);
        }
        may_run
    }

    /// Returns the units per second that clients request at all entries, or `None` if
    /// unknown.
    pub fn demand_per_s(&self, now: Instant) -> Option<f64> {
        self.level_age(now)?;
        let demand = self.received.as_ref().map(|received| received.demand_per_s);
        demand.filter(|demand| *demand > 0.0)
    }

    /// Returns whether an admitted request is beyond its account's share: the account has used
    /// half of its burst, and the fleet admits more for it than the limit's rate. Each entry
    /// marks the same fraction of its requests.
    pub fn is_beyond_share(&mut self, charge: u64, now: Instant) -> bool {
        let (Some(level), Some(demand_per_s)) = (self.fleet_level(now), self.demand_per_s(now))
        else {
            return false;
        };
        if self.is_ample(level) {
            return false;
        }
        let granted = self.granted_fraction();
        let due_per_s = self.bounds.steady_per_s * granted + level.max(0.0) / CORRECTION_TIME_S;
        let admitted_per_s = demand_per_s.min(due_per_s);
        let fraction = self.bounds.granted_per_s * granted / admitted_per_s;
        if fraction >= 1.0 {
            return false;
        }
        !self.within_share.admits(charge as f64, fraction)
    }

    fn is_ample(&self, level: f64) -> bool {
        level >= self.bounds.burst * self.granted_fraction() * AMPLE_FRACTION
    }

    /// Returns the fraction of the limit that the aggregator grants to the entries that
    /// report to it.
    fn granted_fraction(&self) -> f64 {
        let granted = self.received.as_ref().map(|received| received.granted);
        granted.filter(|_| self.is_share_by_demand).unwrap_or(1.0)
    }

    /// Returns the units of a request as far as the own share can hold them. A share that
    /// holds less than one request would otherwise never admit it; it is admitted with a
    /// debt instead, which the share pays back first.
    fn own_share_quantum(&self, units: f64) -> f64 {
        match self.is_share_by_demand {
            true => units.min(self.own_share.capacity()),
            false => units,
        }
    }

    /// Adds the admissible fraction of a request to the credit, and returns whether the credit
    /// suffices to admit the request.
    fn take_credit(&mut self, units: f64, level: f64, demand_per_s: f64) -> bool {
        let due_per_s = self.bounds.steady_per_s * self.granted_fraction();
        let allowed_per_s = due_per_s + level / CORRECTION_TIME_S;
        let fraction = (allowed_per_s / demand_per_s).clamp(0.0, 1.0);
        if fraction >= 1.0 && self.is_share_by_demand {
            // a debt from an earlier shortage must not reject requests after its end
            return true;
        }
        self.admitted.admits(units, fraction)
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, charge: u64, now: Instant) {
        self.charged -= charge as i64;
        self.charged_in_window
            .add(-(charge as f64), self.window, now);
        self.own_share.spend(-(charge as f64), now);
    }

    /// Returns the units that the fleet must regain before a request may run.
    pub fn missing(&self, charge: u64, now: Instant) -> f64 {
        match self.fleet_level(now) {
            Some(level) => (charge as f64 - level).max(0.0),
            None => {
                let shares = 1.0 / self.share_fraction(now).max(f64::MIN_POSITIVE);
                (charge as f64 - self.own_share.level(now)).max(0.0) * shares
            }
        }
    }

    /// Returns the usage to report to the aggregator.
    pub fn usage(&self, account: AccountFingerprint, entries: u32, now: Instant) -> AccountUsage {
        let extrapolated = || self.own_share.level(now) * f64::from(entries.max(1));
        AccountUsage {
            account,
            taken: self.charged,
            asked: self.requested,
            told_taken: self.acked_charged,
            told_asked: self.acked_requested,
            level: self.fleet_level(now).unwrap_or_else(extrapolated),
            per_s: self.bounds.steady_per_s,
            most: self.bounds.burst,
            in_window: self.bounds.per_window,
            share: match self.is_share_by_demand {
                true => self.share_fraction(now),
                false => 0.0,
            },
            share_level: self.share_level(now),
            taken_in_window: self.charged_in_window.get(self.window, now),
            unacked_ms: now.saturating_duration_since(self.acked_at).as_millis() as u32,
        }
    }

    /// Returns what is left of the own share, for the next aggregator. Of an account that was
    /// near its limit only a part is reported: its level may have been used elsewhere as well
    /// while it was old.
    fn share_level(&self, now: Instant) -> f64 {
        let level = self.own_share.level(now);
        match level > 0.0 {
            true => level * self.unused_fraction,
            false => level,
        }
    }

    /// Returns whether this aggregator has received the account's usage.
    pub fn is_known_to(&self, aggregator: Option<Incarnation>) -> bool {
        aggregator.is_some() && self.reported_to == aggregator
    }
    pub fn has_unreported(&self) -> bool {
        (self.charged, self.requested) != (self.acked_charged, self.acked_requested)
    }

    /// Applies a level from an aggregator. `usage` is the reported usage of this
    /// account, if it was in the report.
    pub fn on_level(
        &mut self,
        aggregator: Incarnation,
        usage: Option<&AccountUsage>,
        level: &AccountLevel,
        now: Instant,
    ) {
        if let Some(usage) = usage {
            self.reported_to = Some(aggregator);
            (self.acked_charged, self.acked_requested) = (usage.taken, usage.asked);
            self.acked_at = now;
        }
        if level.share > 0.0 {
            self.returned_share = Some((level.share, now));
        } else if level.granted <= 0.0 {
            // an aggregator of an older build grants equal parts
            self.returned_share = None;
        }
        let granted = Some(level.granted).filter(|granted| *granted > 0.0);
        self.set_level(level.level, level.asked_per_s, granted.unwrap_or(1.0), now);
    }

    /// Applies a response that doesn't list the account: at least this fraction of the burst
    /// is left.
    pub fn on_ample(&mut self, fraction: f64, now: Instant) {
        let granted = (fraction / AMPLE_FRACTION).max(f64::MIN_POSITIVE);
        self.set_level(self.bounds.burst * fraction, 0.0, granted, now);
    }

    fn set_level(&mut self, level: f64, demand_per_s: f64, granted: f64, now: Instant) {
        self.received = Some(ReceivedLevel {
            level,
            demand_per_s,
            granted,
            charged: self.acked_charged,
            at: now,
        });
        // if the aggregator fails, the entry continues with its share of the level
        let own_part = (self.share_fraction(now) / self.granted_fraction()).min(1.0);
        let fleet_level = self.fleet_level(now).unwrap_or(0.0);
        let mut own_level = fleet_level * own_part;
        if self.is_share_by_demand {
            let burst = self.bounds.burst * self.granted_fraction();
            self.unused_fraction = (fleet_level / burst.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
            own_level +=
                self.bounds.own_share_extra * self.unused_fraction * self.share_fraction(now);
        }
        self.refresh_share(now);
        self.own_share.set_level(own_level, now);
    }

    /// Returns the fraction of the limit that the entry uses without an aggregator: the
    /// share last returned, which ages toward the equal part.
    pub fn share_fraction(&self, now: Instant) -> f64 {
        let equal = 1.0 / f64::from(self.entries.max(1));
        let returned = self.returned_share.filter(|_| self.is_share_by_demand);
        returned.map_or(equal, |(share, at)| {
            aged_share(share, equal, now.saturating_duration_since(at))
        })
    }

    /// Returns the age of the share that an aggregator last returned.
    pub fn share_age(&self, now: Instant) -> Option<Duration> {
        let returned = self.returned_share.filter(|_| self.is_share_by_demand);
        returned.map(|(_, at)| now.saturating_duration_since(at))
    }
}
