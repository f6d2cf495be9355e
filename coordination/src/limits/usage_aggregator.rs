use {
    super::account_state::{AccountState, FleetLimit, ReportedAccount, Reporting},
    chalkcart_protocol::peer::{AccountLevel, UsageReport, UsageResponse},
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
/// The same for an entry that takes its share of the limits along: as long as a level is
/// valid at it, so that the share isn't granted here while the entry uses it elsewhere.
const SHARE_HOLDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Sums up the usage that entries report for client accounts, and returns the level of
/// each account.
///
/// It grants the fraction of each limit that belongs to the entries that report to it, so
/// that two aggregators together never grant more than one limit. An entry brings its share
/// along with its first report, and takes it away when it stops reporting.
#[derive(Debug)]
pub struct UsageAggregator {
    incarnation: Incarnation,
    entries: HashMap<BoxName, EntryState>,
    /// Entries that stopped reporting within the last window.
    departed: HashMap<BoxName, EntryState>,
    accounts: HashMap<AccountFingerprint, AccountState>,
}

#[derive(Debug)]
struct EntryState {
    incarnation: Incarnation,
    last_reported_at: Instant,
    reported: HashMap<AccountFingerprint, ReportedAccount>,
}

impl UsageAggregator {
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            entries: HashMap::new(),
            departed: HashMap::new(),
            accounts: HashMap::new(),
        }
    }

    /// Applies the report of an entry and returns the levels that the entry needs.
    pub fn on_report(&mut self, report: UsageReport, now: Instant) -> UsageResponse {
        let window = Duration::from_millis(u64::from(report.window_ms));
        self.expire(report.entries, window, now);
        let known = self.entries.get(&report.entry);
        if known.is_none_or(|entry| entry.incarnation != report.incarnation) {
            let entry = EntryState::new(report.incarnation, now);
            if let Some(mut previous) = self.entries.insert(report.entry.clone(), entry) {
                self.on_entry_left(&mut previous, report.entries, true, now);
            }
            self.add_lost_debts(&report, now);
        }
        let entries = self.entries.len() as u32;
        // an entry that doesn't know the size of the fleet reports 0
        let fleet = report.entries.max(entries);
        let reporting = Reporting {
            entries,
            fleet,
            is_fleet_known: report.entries > 0,
        };
        let departed = self.departed.get(&report.entry);
        let departed = departed.filter(|entry| entry.incarnation == report.incarnation);
        let reported_by = report.entry.clone();
        let entry = self.entries.entry(report.entry);
        let entry = entry.or_insert_with(|| EntryState::new(report.incarnation, now));
        entry.last_reported_at = now;
        let levels = report.accounts.iter().map(|usage| {
            let limit = FleetLimit::new(usage, window);
            let account = self.accounts.entry(usage.account);
            let account = account.or_insert_with(|| AccountState::new(limit, now));
            account.age(reporting, now);
            let is_new = !entry.reported.contains_key(&usage.account);
            let known = entry.reported.entry(usage.account);
            let known = known.or_insert_with(|| {
                let demand = account.add_entry(usage, reporting, now);
                ReportedAccount::new(usage, demand, now)
            });
            account.set_limit(limit, usage.share > 0.0, reporting, now);
            match is_new {
                true => {
                    let earlier = departed.and_then(|entry| entry.reported.get(&usage.account));
                    account.add_first_usage(usage, earlier, report.entries > 0, fleet, now);
                }
                false => account.add_usage(usage, known, now),
            }
            known.counters = (usage.taken, usage.asked);
            known.taken_in_window = usage.taken_in_window;
            known.reported_at = now;
            let mut level = account.level(usage.account, now);
            if usage.share > 0.0 {
                level.share = account.share_of(&known.demand, entries, now);
                // the response may be lost
                known.share = level.share.max(usage.share);
            }
            level
        });
        let mut accounts: Vec<AccountLevel> = levels.collect();
        self.departed.remove(&reported_by);
        let reported: HashSet<AccountFingerprint> = accounts.iter().map(|a| a.account).collect();
        for (account, state) in &self.accounts {
            if !reported.contains(account) && state.is_short(now) {
                accounts.push(state.level(*account, now));
            }
        }
        UsageResponse {
            incarnation: self.incarnation,
            entries,
            accounts,
        }
    }

    /// Returns the number of rows kept: accounts of each entry.
    pub fn rows(&self) -> usize {
        let entries = self.entries.values().chain(self.departed.values());
        entries.map(|entry| entry.reported.len()).sum()
    }

    fn expire(&mut self, fleet: u32, window: Duration, now: Instant) {
        let is_late = |entry: &EntryState| {
            let holds_share = entry.reported.values().any(|known| known.share > 0.0);
            let timeout = match holds_share {
                true => SHARE_HOLDER_TIMEOUT,
                false => ENTRY_TIMEOUT,
            };
            now.saturating_duration_since(entry.last_reported_at) >= timeout
        };
        let late = self.entries.extract_if(|_, entry| is_late(entry));
        let mut late: Vec<(BoxName, EntryState)> = late.collect();
        for (_, entry) in &mut late {
            self.on_entry_left(entry, fleet, false, now);
        }
        self.departed.extend(late);
        self.departed
            .retain(|_, entry| now.saturating_duration_since(entry.last_reported_at) < window);
        if self.entries.is_empty() {
            // entries that return contribute the level that they last knew
            self.accounts.clear();
            self.departed.clear();
        }
    }

    /// Takes away the shares of an entry, which uses them on its own from now on.
    fn on_entry_left(
        &mut self,
        entry: &mut EntryState,
        fleet: u32,
        has_restarted: bool,
        now: Instant,
    ) {
        let fleet = fleet.max(self.entries.len() as u32 + 1);
        for (account, known) in &mut entry.reported {
            if let Some(state) = self.accounts.get_mut(account) {
                state.remove_entry(known, fleet, has_restarted, now);
            }
        }
    }

    /// Charges the debts that an entry took along when it stopped reporting, if it has
    /// restarted since then and doesn't know them any more.
    fn add_lost_debts(&mut self, report: &UsageReport, now: Instant) {
        let departed = self.departed.get(&report.entry);
        let Some(departed) = departed.filter(|e| e.incarnation != report.incarnation) else {
            return;
        };
        for (account, known) in &departed.reported {
            if let Some(state) = self.accounts.get_mut(account) {
                state.add_lost_debt(known, now);
            }
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
