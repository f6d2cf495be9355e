use {
    super::{aged_share::aged_share, decayed_sum::DecayedSum, TokenBucket, WindowSum},
    chalkcart_protocol::peer::{AccountLevel, AccountUsage},
    chalkcart_state::accounts::AccountFingerprint,
    std::time::{Duration, Instant},
};

/// Window over which the request rate of clients is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Decay time of the demand by which an account's limit is divided among entries. Shorter
/// times give an entry with few requests no share between two of them.
const SHARE_DEMAND_TIME: Duration = Duration::from_secs(20);
/// Demand that is assumed of the first entry that reports, in seconds of its share.
const INITIAL_DEMAND_S: f64 = 2.0;
/// Fraction of each limit that is divided equally, for entries that had no requests.
const EQUAL_FRACTION: f64 = 0.2;
/// An account with at least this fraction of its burst left is ample: its level is only sent
/// to the entries that use it.
pub(super) const AMPLE_FRACTION: f64 = 0.5;

/// What an entry last reported of an account.
#[derive(Debug)]
pub(super) struct ReportedAccount {
    /// Units charged and units requested since the entry's start.
    pub counters: (i64, i64),
    pub demand: DecayedSum,
    /// Fraction of the limit that the entry uses if it can't reach the aggregator any more;
    /// 0 for an equal part.
    pub share: f64,
    /// Units charged at the entry in the window before `reported_at`.
    pub taken_in_window: f64,
    pub reported_at: Instant,
    /// Part of the level that the entry took along when it stopped reporting.
    pub level_part: f64,
}

#[derive(Debug)]
pub(super) struct AccountState {
    limit: FleetLimit,
    bucket: TokenBucket,
    /// Fraction of the limit that belongs to the reporting entries.
    granted: f64,
    /// The same for the window: it decreases as the earlier usage of entries that stopped
    /// reporting leaves the window.
    granted_in_window: f64,
    granted_at: Instant,
    charged: WindowSum,
    requested: WindowSum,
    /// Units that the reporting entries requested.
    demand: DecayedSum,
}

/// The limit of an account for the whole fleet.
#[derive(Debug, Clone, Copy)]
pub(super) struct FleetLimit {
    per_s: f64,
    burst: f64,
    /// Units that may run in each window.
    per_window: f64,
    window: Duration,
}

/// The entries that report, of those that share the limits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reporting {
    pub entries: u32,
    pub fleet: u32,
    /// Whether the number of entries that share the limits is known.
    pub is_fleet_known: bool,
}

impl Reporting {
    fn fraction(self) -> f64 {
        f64::from(self.entries) / f64::from(self.fleet.max(1))
    }
    fn equal_share(self) -> f64 {
        1.0 / f64::from(self.fleet.max(1))
    }
}

impl ReportedAccount {
    pub fn new(usage: &AccountUsage, demand: DecayedSum, now: Instant) -> Self {
        Self {
            counters: (usage.taken, usage.asked),
            demand,
            share: usage.share,
            taken_in_window: usage.taken_in_window,
            reported_at: now,
            level_part: 0.0,
        }
    }
}

impl FleetLimit {
    pub fn new(usage: &AccountUsage, window: Duration) -> Self {
        Self {
            per_s: usage.per_s,
            burst: usage.most,
            per_window: usage.in_window,
            window,
        }
    }
}

impl AccountState {
    pub fn new(limit: FleetLimit, now: Instant) -> Self {
        Self {
            limit,
            bucket: TokenBucket::new(limit.per_s, limit.burst, now),
            granted: 0.0,
            granted_in_window: 0.0,
            granted_at: now,
            charged: WindowSum::default(),
            requested: WindowSum::default(),
            demand: DecayedSum::new(SHARE_DEMAND_TIME, now),
        }
    }

    /// Ages the granted fraction toward the equal parts of the reporting entries, as the
    /// shares of the others age.
    pub fn age(&mut self, reporting: Reporting, now: Instant) {
        let elapsed = now.saturating_duration_since(self.granted_at);
        if reporting.is_fleet_known {
            self.granted = match reporting.entries >= reporting.fleet {
                true => 1.0,
                false => aged_share(self.granted, reporting.fraction(), elapsed),
            };
        }
        let step = elapsed.as_secs_f64() / self.limit.window.as_secs_f64();
        self.granted_in_window -= step * (1.0 - self.granted);
        self.granted_in_window = self.granted_in_window.max(self.granted);
        self.granted_at = now;
    }

    /// Adds the share of an entry that reports for the first time, and returns the demand
    /// that corresponds to it.
    pub fn add_entry(
        &mut self,
        usage: &AccountUsage,
        reporting: Reporting,
        now: Instant,
    ) -> DecayedSum {
        let share = match usage.share > 0.0 {
            true => usage.share,
            false => reporting.equal_share(),
        };
        let known = self.demand.get(now);
        let demand = match known > 0.0 && self.granted > 0.0 {
            true => known * share / self.granted,
            false => usage.per_s * share * INITIAL_DEMAND_S,
        };
        self.demand.add(demand, now);
        self.granted = (self.granted + share).min(1.0);
        self.granted_in_window = self.granted_in_window.max(self.granted);
        self.granted_at = now;
        let mut of_entry = DecayedSum::new(SHARE_DEMAND_TIME, now);
        of_entry.add(demand, now);
        of_entry
    }

    /// Removes the share of an entry that stopped reporting, with its part of the level. If
    /// the entry has restarted, its part of a debt stays.
    pub fn remove_entry(
        &mut self,
        known: &mut ReportedAccount,
        fleet: u32,
        has_restarted: bool,
        now: Instant,
    ) {
        let equal = 1.0 / f64::from(fleet.max(1));
        self.demand.add(-known.demand.get(now), now);
        let age = now.saturating_duration_since(known.reported_at);
        let (is_equal, share) = match known.share > 0.0 {
            true => (false, aged_share(known.share, equal, age)),
            false => (true, equal),
        };
        let remaining = (self.granted - share).max(0.0);
        if !is_equal && self.granted > 0.0 {
            let level = self.bucket.level(now);
            let part = level * (1.0 - remaining / self.granted);
            if !has_restarted || part > 0.0 {
                self.bucket.spend(part, now);
                known.level_part = part;
            }
        }
        self.granted = remaining;
    }

    /// Sets the account's limit, of which this aggregator grants its fraction.
    pub fn set_limit(
        &mut self,
        limit: FleetLimit,
        is_by_demand: bool,
        reporting: Reporting,
        now: Instant,
    ) {
        if !is_by_demand {
            self.granted = reporting.fraction();
            self.granted_in_window = self.granted;
        }
        self.limit = limit;
        let (rate_per_s, capacity) = (limit.per_s * self.granted, limit.burst * self.granted);
        self.bucket.set_bounds(rate_per_s, capacity, now);
    }

    /// Adds the debt that an entry took along before it restarted.
    pub fn add_lost_debt(&mut self, known: &ReportedAccount, now: Instant) {
        self.bucket.spend(-known.level_part.min(0.0), now);
    }

    /// Adds the usage since the entry's previous report.
    pub fn add_usage(&mut self, usage: &AccountUsage, known: &mut ReportedAccount, now: Instant) {
        let (taken, asked) = known.counters;
        let (taken, asked) = ((usage.taken - taken) as f64, (usage.asked - asked) as f64);
        self.bucket.spend(taken, now);
        self.charged.add(taken, self.limit.window, now);
        self.requested.add(asked, DEMAND_WINDOW, now);
        known.demand.add(asked, now);
        self.demand.add(asked, now);
    }

    /// Adds the usage of an entry that reports for the first time, or again after it stopped.
    /// An entry that has a share brings its level and its usage of the window along.
    pub fn add_first_usage(
        &mut self,
        usage: &AccountUsage,
        earlier: Option<&ReportedAccount>,
        knows_fleet: bool,
        fleet: u32,
        now: Instant,
    ) {
        let taken = (usage.taken - usage.told_taken) as f64;
        let asked = (usage.asked - usage.told_asked) as f64;
        if usage.share <= 0.0 {
            if knows_fleet {
                // a new entry contributes its share of the level that it last knew
                self.bucket.spend(-usage.level / f64::from(fleet), now);
            }
            self.bucket.spend(taken, now);
            self.charged.add(taken, self.limit.window, now);
            self.requested.add(asked, DEMAND_WINDOW, now);
            return;
        }
        if knows_fleet {
            // what the entry charged to its share is already subtracted from its level
            self.bucket.spend(-usage.share_level, now);
        } else {
            self.bucket.spend(taken, now);
        }
        let window = self.limit.window;
        if let Some(earlier) = earlier {
            // the earlier usage is part of what the entry reports now
            let elapsed = now.saturating_duration_since(earlier.reported_at);
            let left = window.saturating_sub(elapsed);
            let still = earlier.taken_in_window * left.as_secs_f64() / window.as_secs_f64();
            if let Some(until) = now.checked_sub(elapsed) {
                self.charged.add_spread(-still, left, window, until);
            }
        }
        self.charged
            .add_spread(usage.taken_in_window, window, window, now);
        let since = Duration::from_millis(u64::from(usage.unacked_ms));
        // the demand of a longer time must not appear as that of one second
        let recent = DEMAND_WINDOW.as_secs_f64() / since.max(DEMAND_WINDOW).as_secs_f64();
        let since = since.min(DEMAND_WINDOW);
        self.requested
            .add_spread(asked * recent, since, DEMAND_WINDOW, now);
    }

    /// Returns the fraction of the limit that an entry may use on its own.
    pub fn share_of(&self, demand: &DecayedSum, entries: u32, now: Instant) -> f64 {
        let equal = 1.0 / f64::from(entries.max(1));
        let sum = self.demand.get(now);
        let by_demand = match sum > 0.0 {
            true => (demand.get(now) / sum).clamp(0.0, 1.0),
            false => equal,
        };
        self.granted * (EQUAL_FRACTION * equal + (1.0 - EQUAL_FRACTION) * by_demand)
    }

    /// Returns the units that may run now: the level of the bucket or what is left of the
    /// window, whichever is less.
    fn available(&self, now: Instant) -> f64 {
        let per_window = self.limit.per_window * self.granted_in_window;
        let left_in_window = per_window - self.charged.get(self.limit.window, now);
        self.bucket.level(now).min(left_in_window)
    }

    pub fn is_short(&self, now: Instant) -> bool {
        self.available(now) < self.bucket.capacity() * AMPLE_FRACTION
    }

    pub fn level(&self, account: AccountFingerprint, now: Instant) -> AccountLevel {
        AccountLevel {
            account,
            level: self.available(now),
            asked_per_s: self.requested.get(DEMAND_WINDOW, now) / DEMAND_WINDOW.as_secs_f64(),
            share: 0.0,
            granted: self.granted,
        }
    }
}
