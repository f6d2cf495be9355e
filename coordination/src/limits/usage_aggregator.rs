use {
    super::{TokenBucket, WindowSum},
    chalkcart_protocol::peer::{AccountLevel, AccountUsage, UsageReport, UsageResponse},
    chalkcart_state::{
        accounts::AccountFingerprint,
        ids::{BoxName, Incarnation},
    },
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// An entry that hasn't reported for this long is no longer counted. Entries report at
/// least every 600 ms.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Window over which the request rate of clients is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// An account with at least this fraction of its burst left is ample: its level is only sent
/// to the entries that use it.
pub(super) const AMPLE_FRACTION: f64 = 0.5;

/// Sums up the usage that entries report for client accounts, and returns the level of
/// each account.
///
/// It grants the fraction of each limit that belongs to the entries that report to it, so
/// that two aggregators together never grant more than one limit.
#[derive(Debug)]
pub struct UsageAggregator {
    incarnation: Incarnation,
    entries: HashMap<BoxName, EntryState>,
    accounts: HashMap<AccountFingerprint, AccountState>,
}

#[derive(Debug)]
struct EntryState {
    incarnation: Incarnation,
    last_reported_at: Instant,
    /// Last reported counters of each account: units charged and units requested.
    reported: HashMap<AccountFingerprint, (i64, i64)>,
}

#[derive(Debug)]
struct AccountState {
    bucket: TokenBucket,
    /// Units that may run in each window.
    per_window: f64,
    window: Duration,
    charged: WindowSum,
    requested: WindowSum,
}

impl UsageAggregator {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            entries: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Applies the report of an entry and returns the levels that the entry needs.
    pub fn on_report(&mut self, report: UsageReport, now: Instant) -> UsageResponse {
        self.expire(now);
        let known = self.entries.get(&report.entry);
        if known.is_none_or(|entry| entry.incarnation != report.incarnation) {
            let entry = EntryState::new(report.incarnation, now);
            self.entries.insert(report.entry.clone(), entry);
        }
        let reporting = self.entries.len() as u32;
        // an entry that doesn't know the size of the fleet reports 0
        let fleet = report.entries.max(reporting);
        let fraction = f64::from(reporting) / f64::from(fleet);
        let window = Duration::from_millis(u64::from(report.window_ms));
        let entry = self.entries.entry(report.entry);
        let entry = entry.or_insert_with(|| EntryState::new(report.incarnation, now));
        entry.last_reported_at = now;
        let levels = report.accounts.iter().map(|usage| {
            let account = self.accounts.entry(usage.account);
            let account = account.or_insert_with(|| AccountState::new(usage, window, now));
            account.set_bounds(usage, window, fraction, now);
            let counters = (usage.taken, usage.asked);
            let previous = entry.reported.insert(usage.account, counters);
            if previous.is_none() && report.entries > 0 {
                // a new entry contributes its share of the level that it last knew
                let contributed = usage.level / f64::from(fleet);
                account.bucket.spend(-contributed, now);
            }
            let (taken, asked) = previous.unwrap_or((usage.told_taken, usage.told_asked));
            account.add_charged(usage.taken - taken, now);
            account.add_requested(usage.asked - asked, now);
            account.level(usage.account, now)
        });
        let mut accounts: Vec<AccountLevel> = levels.collect();
        let reported: HashSet<AccountFingerprint> = accounts.iter().map(|a| a.account).collect();
        for (account, state) in &self.accounts {
            if !reported.contains(account) && state.is_short(now) {
                accounts.push(state.level(*account, now));
            }
        }
        UsageResponse {
            incarnation: self.incarnation,
            entries: reporting,
            accounts,
        }
    }

    fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, entry| {
            now.saturating_duration_since(entry.last_reported_at) < ENTRY_TIMEOUT
        });
        if self.entries.is_empty() {
            // entries that return contribute the level that they last knew
            self.accounts.clear();
        }
    }
}

impl EntryState {
    fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            last_reported_at: now,
            reported: HashMap::new(),
        }
    }
}

impl AccountState {
    fn new(usage: &AccountUsage, window: Duration, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(usage.per_s, usage.most, now),
            per_window: usage.in_window,
            window,
            charged: WindowSum::default(),
            requested: WindowSum::default(),
        }
    }

    /// Sets the fraction of the account's limit that this aggregator grants.
    fn set_bounds(&mut self, usage: &AccountUsage, window: Duration, fraction: f64, now: Instant) {
        let (rate_per_s, capacity) = (usage.per_s * fraction, usage.most * fraction);
        self.bucket.set_bounds(rate_per_s, capacity, now);
        self.per_window = usage.in_window * fraction;
        self.window = window;
    }

    fn add_charged(&mut self, units: i64, now: Instant) {
        self.bucket.spend(units as f64, now);
        self.charged.add(units as f64, self.window, now);
    }

    fn add_requested(&mut self, units: i64, now: Instant) {
        self.requested.add(units as f64, DEMAND_WINDOW, now);
    }

    /// Returns the units that may run now: the level of the bucket or what is left of the
    /// window, whichever is less.
    fn available(&self, now: Instant) -> f64 {
        let left_in_window = self.per_window - self.charged.get(self.window, now);
        self.bucket.level(now).min(left_in_window)
    }

    fn is_short(&self, now: Instant) -> bool {
        self.available(now) < self.bucket.capacity() * AMPLE_FRACTION
    }

    fn level(&self, account: AccountFingerprint, now: Instant) -> AccountLevel {
        AccountLevel {
            account,
            level: self.available(now),
            asked_per_s: self.requested.get(DEMAND_WINDOW, now) / DEMAND_WINDOW.as_secs_f64(),
        }
    }
}
