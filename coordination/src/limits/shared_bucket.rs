use {
    super::{usage_aggregator::AMPLE_FRACTION, LimitBounds, TokenBucket},
    chalkcart_protocol::peer::{AccountLevel, AccountUsage},
    chalkcart_state::{accounts::AccountFingerprint, ids::Incarnation},
    std::time::{Duration, Instant},
};

/// A level from the aggregator is valid for this long; afterwards the entry keeps to its
/// equal share of the limit.
const LEVEL_VALID_FOR: Duration = Duration::from_millis(900);
/// Time in which unused units are granted and overuse is paid back, in seconds. Longer
/// than a change takes to reach all entries.
const CORRECTION_TIME_S: f64 = 1.0;
/// Fraction of its equal share of a burst that an entry may use before the first response of an
/// aggregator. The usage before its start is unknown, and entries that restart repeatedly
/// must not get a burst each time.
const INITIAL_BURST_FRACTION: f64 = 0.25;

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
    /// Units requested here since the start.
    requested: i64,
    /// Both counters as last acknowledged by an aggregator.
    acked_charged: i64,
    acked_requested: i64,
    /// The aggregator that has received this account's usage.
    reported_to: Option<Incarnation>,
    received: Option<ReceivedLevel>,
    /// The entry's equal share of the limit, used without an aggregator.
    own_share: TokenBucket,
    /// When a request last arrived.
    pub(super) last_request_at: Option<Instant>,
    /// Units that the entry may still admit of the requests that have arrived while the
    /// level is low.
    credit: f64,
    /// Between 0 and 1, different at each entry, so that entries with a fraction of a
    /// request each admit their first request at different times.
    phase: f64,
    /// Earliest retry of the next rejected request, so that retries are spread out.
    pub(super) next_retry_at: Instant,
}

/// Level of an account as returned by an aggregator.
#[derive(Debug)]
struct ReceivedLevel {
    level: f64,
    demand_per_s: f64,
    /// Units charged here that the level accounts for.
    charged: i64,
    at: Instant,
}

impl SharedBucket {
    pub fn new(bounds: LimitBounds, entries: u32, phase: f64, now: Instant) -> Self {
        let fraction = 1.0 / f64::from(entries.max(1));
        let (rate_per_s, capacity) = (bounds.granted_per_s * fraction, bounds.burst * fraction);
        let mut own_share = TokenBucket::new(rate_per_s, capacity, now);
        own_share.set_level(capacity * INITIAL_BURST_FRACTION, now);
        Self {
            bounds,
            charged: 0,
            requested: 0,
            acked_charged: 0,
            acked_requested: 0,
            reported_to: None,
            received: None,
            own_share,
            last_request_at: None,
            credit: 0.0,
            phase,
            next_retry_at: now,
        }
    }

    /// Applies a changed limit or number of entries.
    pub fn set_bounds(&mut self, bounds: LimitBounds, entries: u32, now: Instant) {
        let fraction = 1.0 / f64::from(entries.max(1));
        let (rate_per_s, capacity) = (bounds.granted_per_s * fraction, bounds.burst * fraction);
        self.own_share.set_bounds(rate_per_s, capacity, now);
        self.bounds = bounds;
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
    /// entries. Without a valid level an entry keeps to its equal share of the limit.
    ///
    /// During start-up no level counts as ample, since the aggregator may have restarted
    /// as well.
    pub fn try_charge(&mut self, charge: u64, startup: StartupState, now: Instant) -> bool {
        let units = charge as f64;
        let level = self
            .fleet_level(now)
            .filter(|_| startup != StartupState::Unsynced);
        let is_starting = startup != StartupState::Ready;
        let may_run = match (level, self.demand_per_s(now)) {
            (Some(level), _) if level >= self.bounds.burst * AMPLE_FRACTION && !is_starting => true,
            // the bucket of an aggregator that has just started may be too full
            (Some(level), Some(demand_per_s)) if is_starting => {
                self.take_credit(units, level.min(0.0), demand_per_s)
            }
            (Some(level), Some(demand_per_s)) => self.take_credit(units, level, demand_per_s),
            (Some(level), None) if !is_starting => level > 0.0,
            _ => self.own_share.level(now) > self.phase * units,
        };
        if may_run {
            self.charged += charge as i64;
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

    /// Adds the admissible fraction of a request to the credit, and returns whether the credit
    /// suffices to admit the request.
    fn take_credit(&mut self, units: f64, level: f64, demand_per_s: f64) -> bool {
        let allowed_per_s = self.bounds.steady_per_s + level / CORRECTION_TIME_S;
        self.credit += units * (allowed_per_s / demand_per_s).clamp(0.0, 1.0);
        let is_admitted = self.credit > units * self.phase;
        if is_admitted {
            self.credit -= units;
        }
        is_admitted
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, charge: u64, now: Instant) {
        self.charged -= charge as i64;
        self.own_share.spend(-(charge as f64), now);
    }

    /// Returns the units that the fleet must regain before a request may run.
    pub fn missing(&self, charge: u64, now: Instant) -> f64 {
        match self.fleet_level(now) {
            Some(level) => (charge as f64 - level).max(0.0),
            None => {
                let shares = 1.0 / self.share_fraction().max(f64::MIN_POSITIVE);
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
        }
        self.set_level(level.level, level.asked_per_s, now);
    }

    /// Applies a response that doesn't list the account: at least this fraction of the burst
    /// is left.
    pub fn on_ample(&mut self, fraction: f64, now: Instant) {
        self.set_level(self.bounds.burst * fraction, 0.0, now);
    }

    fn set_level(&mut self, level: f64, demand_per_s: f64, now: Instant) {
        self.received = Some(ReceivedLevel {
            level,
            demand_per_s,
            charged: self.acked_charged,
            at: now,
        });
        // if the aggregator fails, the entry continues with its share of the level
        let own_level = self.fleet_level(now).unwrap_or(0.0) * self.share_fraction();
        self.own_share.set_level(own_level, now);
    }

    /// Returns the entry's equal share of the limit, as a fraction.
    fn share_fraction(&self) -> f64 {
        self.own_share.rate_per_s() / self.bounds.granted_per_s.max(f64::MIN_POSITIVE)
    }
}
