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

/// an entry that is silent for this long is no longer counted; entries report each
/// 600 ms at least
const ENTRY_SILENCE: Duration = Duration::from_millis(1_400);

/// over this time the rate is taken at which clients ask
const ASKED_WINDOW: Duration = Duration::from_secs(1);

/// an account that has this part of its highest level left is ample: entries that do
/// not use it need not hear of it
pub(super) const AMPLE_PART: f64 = 0.5;

/// Sums up what entries let client accounts run, and says how much more may run.
///
/// It gives out the part of each limit that belongs to the entries that report to
/// it, so that two keepers at a time give out no more than one limit.
#[derive(Debug)]
pub struct UsageKeeper {
    incarnation: Incarnation,
    entries: HashMap<BoxName, EntryRow>,
    accounts: HashMap<AccountFingerprint, AccountRow>,
}

#[derive(Debug)]
struct EntryRow {
    incarnation: Incarnation,
    heard: Instant,
    /// of each account, the units taken and those asked for, as it last told
    told: HashMap<AccountFingerprint, (i64, i64)>,
}

#[derive(Debug)]
struct AccountRow {
    bucket: TokenBucket,
    /// units in each window
    in_window: f64,
    window: Duration,
    window_spent: WindowSum,
    asked: WindowSum,
}

impl UsageKeeper {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            entries: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// an entry has told what it let run
    pub fn on_report(&mut self, report: UsageReport, now: Instant) -> UsageResponse {
        self.expire(now);
        let known = self.entries.get(&report.entry);
        if known.is_none_or(|row| row.incarnation != report.incarnation) {
            let row = EntryRow::new(report.incarnation, now);
            self.entries.insert(report.entry.clone(), row);
        }
        let counted = self.entries.len() as u32;
        // of all entries, those that report here; one that does not know how many there
        // are says nothing about it
        let fleet = report.entries.max(counted);
        let part = f64::from(counted) / f64::from(fleet);
        let window = Duration::from_millis(u64::from(report.window_ms));
        let entry = self.entries.entry(report.entry);
        let entry = entry.or_insert_with(|| EntryRow::new(report.incarnation, now));
        entry.heard = now;
        let rows = report.accounts.iter().map(|usage| {
            let account = self.accounts.entry(usage.account);
            let account = account.or_insert_with(|| AccountRow::new(usage, window, now));
            account.set_bounds(usage, window, part, now);
            let told = (usage.taken, usage.asked);
            let before = entry.told.insert(usage.account, told);
            if before.is_none() && report.entries > 0 {
                // it brings its part of what it believes to be due
                let brought = usage.level / f64::from(fleet);
                account.bucket.spend(-brought, now);
            }
            let (taken, asked) = before.unwrap_or((usage.told_taken, usage.told_asked));
            account.spend(usage.taken - taken, now);
            account.on_asked(usage.asked - asked, now);
            account.level(usage.account, now)
        });
        let mut accounts: Vec<AccountLevel> = rows.collect();
        let told: HashSet<AccountFingerprint> = accounts.iter().map(|a| a.account).collect();
        for (mark, row) in &self.accounts {
            if !told.contains(mark) && row.is_short(now) {
                accounts.push(row.level(*mark, now));
            }
        }
        UsageResponse {
            incarnation: self.incarnation,
            entries: counted,
            accounts,
        }
    }

    fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, row| now.saturating_duration_since(row.heard) < ENTRY_SILENCE);
        if self.entries.is_empty() {
            // entries that come back bring what they believe
            self.accounts.clear();
        }
    }
}

impl EntryRow {
    fn new(incarnation: Incarnation, now: Instant) -> Self {
        Self {
            incarnation,
            heard: now,
            told: HashMap::new(),
        }
    }
}

impl AccountRow {
    fn new(usage: &AccountUsage, window: Duration, now: Instant) -> Self {
        Self {
            bucket: TokenBucket::new(usage.per_s, usage.most, now),
            in_window: usage.in_window,
            window,
            window_spent: WindowSum::default(),
            asked: WindowSum::default(),
        }
    }

    /// this part of the account's limit is given out here
    fn set_bounds(&mut self, usage: &AccountUsage, window: Duration, part: f64, now: Instant) {
        let (per_s, most) = (usage.per_s * part, usage.most * part);
        self.bucket.set_bounds(per_s, most, now);
        self.in_window = usage.in_window * part;
        self.window = window;
    }

    fn spend(&mut self, units: i64, now: Instant) {
        self.bucket.spend(units as f64, now);
        self.window_spent.add(units as f64, self.window, now);
    }

    fn on_asked(&mut self, units: i64, now: Instant) {
        self.asked.add(units as f64, ASKED_WINDOW, now);
    }

    /// units that may run at once, also by what is left of the window
    fn left(&self, now: Instant) -> f64 {
        let in_window = self.in_window - self.window_spent.get(self.window, now);
        self.bucket.level(now).min(in_window)
    }

    fn is_short(&self, now: Instant) -> bool {
        self.left(now) < self.bucket.most() * AMPLE_PART
    }

    fn level(&self, account: AccountFingerprint, now: Instant) -> AccountLevel {
        AccountLevel {
            account,
            level: self.left(now),
            asked_per_s: self.asked.get(ASKED_WINDOW, now) / ASKED_WINDOW.as_secs_f64(),
        }
    }
}
