use {
    super::{
        shared_bucket::{SharedBucket, Youth},
        usage_keeper::AMPLE_PART,
        LimitBounds, LimitSettings,
    },
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_protocol::peer::{AccountLevel, AccountUsage, UsageReport, UsageResponse},
    chalkcart_state::{
        accounts::{AccountFingerprint, ClientAccount, ClientAccountName, RateLimit},
        ids::{BoxName, Incarnation},
    },
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// an account counts as in use for this long after a request
const IN_USE: Duration = Duration::from_secs(2);
/// shortest and longest time after which a refused request is told to come back
const MIN_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(5);
/// Time between two reports while accounts are in use. With more entries it grows, so
/// that a keeper hears some 330 reports a second.
const REPORT_EVERY: Duration = Duration::from_millis(250);
const REPORT_EVERY_ENTRY: Duration = Duration::from_millis(3);
/// longest time between two reports: a keeper's word must hold until the next
const REPORT_LATEST: Duration = Duration::from_millis(600);

/// For this long after its start an entry takes no limit for ample: the keeper may have
/// started as well and know nothing of what ran before, and what waited for its first
/// word comes at once at all entries. Without it an account at 3.3 rates ran 5 rates in
/// the second after all processes were killed.
const YOUNG_FOR: Duration = Duration::from_secs(2);
/// when a keeper that has just started answers an entry this often, all others have told
/// it what they are asked for
const ENOUGH_WORDS: u32 = 2;
/// entries assumed for an equal part before a sidecar has counted them
const ENTRIES_UNKNOWN: u32 = 32;

/// what a decision on a limit was made from, for logs
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitBasis {
    /// units that the fleet may run at once; none without a keeper's word
    pub level: Option<f64>,
    /// age of the keeper's word
    pub age: Option<Duration>,
    /// entries that share the limit
    pub entries: u32,
}

/// a limit that is new, or has changed
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    pub account: ClientAccountName,
    pub bounds: LimitBounds,
}

/// a request beyond its account's limit
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverLimit {
    /// when its units are due
    pub retry_after: Duration,
    pub basis: LimitBasis,
}

/// The limits of client accounts at one entry. A keeper sums up what all entries let
/// run; each draws on the whole limit by the keeper's last word.
#[derive(Debug)]
pub struct LimitBook {
    settings: LimitSettings,
    entry: BoxName,
    incarnation: Incarnation,
    started: Instant,
    /// that share the limits, none before a sidecar has counted them
    entries: Option<u32>,
    keeper: Option<Incarnation>,
    /// answers of this keeper
    words: u32,
    accounts: HashMap<AccountFingerprint, SharedBucket>,
}

impl LimitBook {
    pub fn new(
        settings: LimitSettings,
        entry: BoxName,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            settings,
            entry,
            incarnation,
            started: now,
            entries: None,
            keeper: None,
            words: 0,
            accounts: HashMap::new(),
        }
    }

    /// accounts and limits of a new configuration; what is not limited is forgotten.
    /// Gives those that are new or have changed
    pub fn set_accounts<'a>(
        &mut self,
        accounts: impl Iterator<Item = &'a ClientAccount>,
        now: Instant,
    ) -> Vec<LimitChange> {
        let (mut limited, mut changed) = (HashSet::new(), Vec::new());
        for account in accounts {
            let Some(limit) = &account.limit else {
                continue;
            };
            if !limited.insert(account.fingerprint) {
                // an account stands once for each of its keys
                continue;
            }
            let (bounds, entries) = (self.settings.bounds(limit), self.entries());
            let known = self.accounts.get(&account.fingerprint);
            if known.is_none_or(|bucket| bucket.bounds() != bounds) {
                changed.push(LimitChange {
                    account: account.name.clone(),
                    bounds,
                });
            }
            let phase = phase_of(&self.entry, account.fingerprint);
            let bucket = self.accounts.entry(account.fingerprint);
            let bucket = bucket.or_insert_with(|| SharedBucket::new(bounds, entries, phase, now));
            bucket.set_bounds(bounds, entries, now);
        }
        self.accounts.retain(|mark, _| limited.contains(mark));
        changed
    }

    /// entries that share the limits, none while they are not known
    pub fn set_entries(&mut self, entries: Option<u32>, now: Instant) {
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        let entries = self.entries();
        for bucket in self.accounts.values_mut() {
            bucket.set_bounds(bucket.bounds(), entries, now);
        }
    }

    fn entries(&self) -> u32 {
        self.entries.unwrap_or(ENTRIES_UNKNOWN)
    }

    /// a request came; it counts as asked for, whatever becomes of it
    pub fn ask(
        &mut self,
        account: AccountFingerprint,
        limit: &RateLimit,
        charge: u64,
        now: Instant,
    ) {
        self.bucket(account, limit, now).ask(charge, now);
    }

    /// charge a request that came to its account, unless that is over its limit
    ///
    /// # Errors
    /// the account has nothing left: the request must not run
    pub fn charge(
        &mut self,
        account: AccountFingerprint,
        limit: &RateLimit,
        charge: u64,
        now: Instant,
    ) -> Result<(), OverLimit> {
        let (bounds, entries) = (self.settings.bounds(limit), self.entries());
        let youth = self.youth(now);
        let bucket = self.bucket(account, limit, now);
        if bucket.take(charge, youth, now) {
            return Ok(());
        }
        let due = bucket.missing(charge, now) / bounds.steady_per_s;
        let due = now + Duration::from_secs_f64(due.min(MAX_RETRY.as_secs_f64()));
        let at = bucket.returns_at.max(due);
        let own_per_s = bounds.steady_per_s / f64::from(entries.max(1));
        let each =
            Duration::from_secs_f64((charge as f64 / own_per_s).min(MAX_RETRY.as_secs_f64()));
        bucket.returns_at = (at + each).min(now + MAX_RETRY);
        let basis = LimitBasis {
            level: bucket.fleet_level(now),
            age: bucket.word_age(now),
            entries,
        };
        Err(OverLimit {
            retry_after: at
                .saturating_duration_since(now)
                .clamp(MIN_RETRY, MAX_RETRY),
            basis,
        })
    }

    fn bucket(
        &mut self,
        account: AccountFingerprint,
        limit: &RateLimit,
        now: Instant,
    ) -> &mut SharedBucket {
        let (bounds, entries) = (self.settings.bounds(limit), self.entries());
        let phase = phase_of(&self.entry, account);
        let bucket = self.accounts.entry(account);
        bucket.or_insert_with(|| SharedBucket::new(bounds, entries, phase, now))
    }

    /// a request that was charged did not run
    pub fn give_back(&mut self, account: AccountFingerprint, charge: u64, now: Instant) {
        if let Some(bucket) = self.accounts.get_mut(&account) {
            bucket.give_back(charge, now);
        }
    }

    /// time until the next report is due
    pub fn report_every(&self, now: Instant) -> Duration {
        let is_used = self.accounts.values().any(|b| is_in_use(b, now));
        match is_used {
            true => (REPORT_EVERY_ENTRY * self.entries()).clamp(REPORT_EVERY, REPORT_LATEST),
            false => REPORT_LATEST,
        }
    }

    /// what the keeper must hear; none without limits
    pub fn report(&self, now: Instant) -> Option<UsageReport> {
        if self.accounts.is_empty() {
            return None;
        }
        let is_news =
            |b: &SharedBucket| is_in_use(b, now) || b.has_untold() || !b.is_told(self.keeper);
        let news = self.accounts.iter().filter(|(_, bucket)| is_news(bucket));
        let accounts = news.map(|(mark, bucket)| bucket.usage(*mark, self.entries(), now));
        Some(UsageReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            entries: self.entries.unwrap_or(0),
            window_ms: self.settings.window.as_millis() as u32,
            accounts: accounts.collect(),
        })
    }

    /// the keeper has answered a report
    pub fn on_answer(&mut self, report: &UsageReport, answer: &UsageResponse, now: Instant) {
        if self.keeper != Some(answer.incarnation) {
            self.words = 0;
        }
        self.keeper = Some(answer.incarnation);
        self.words += 1;
        let part = f64::from(answer.entries) / f64::from(report.entries.max(answer.entries));
        let usages = report.accounts.iter().map(|usage| (usage.account, usage));
        let usages: HashMap<AccountFingerprint, &AccountUsage> = usages.collect();
        let levels = answer.accounts.iter().map(|level| (level.account, level));
        let levels: HashMap<AccountFingerprint, &AccountLevel> = levels.collect();
        for (mark, bucket) in &mut self.accounts {
            let usage = usages.get(mark).copied();
            match levels.get(mark) {
                Some(level) => bucket.on_level(answer.incarnation, usage, level, now),
                None => bucket.on_ample(part * AMPLE_PART, now),
            }
        }
    }

    /// age of the keeper's word on an account, none if none holds
    pub fn word_age(&self, account: AccountFingerprint, now: Instant) -> Option<Duration> {
        self.accounts.get(&account)?.word_age(now)
    }
    /// whether a keeper has said what clients ask for of an account, at all entries
    pub fn knows_asked(&self, account: AccountFingerprint, now: Instant) -> bool {
        let bucket = self.accounts.get(&account);
        let is_asked = bucket.is_some_and(|bucket| bucket.asked_per_s(now).is_some());
        is_asked && self.youth(now) != Youth::Ignorant
    }

    fn youth(&self, now: Instant) -> Youth {
        let is_young = now.saturating_duration_since(self.started) < YOUNG_FOR;
        match is_young {
            true if self.words < ENOUGH_WORDS => Youth::Ignorant,
            true => Youth::Careful,
            false => Youth::Over,
        }
    }
}

/// of an entry for an account, evenly between 0 and 1 over entries
fn phase_of(entry: &BoxName, account: AccountFingerprint) -> f64 {
    rendezvous_weight(account, stable_hash(entry)) as f64 / u64::MAX as f64
}

fn is_in_use(bucket: &SharedBucket, now: Instant) -> bool {
    let used = bucket.used;
    used.is_some_and(|at| now.saturating_duration_since(at) < IN_USE)
}
