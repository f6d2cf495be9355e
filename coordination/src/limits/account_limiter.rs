use {
    super::{
        account_state::AMPLE_FRACTION,
        shared_bucket::{SharedBucket, StartupState},
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

/// An account counts as in use for this long after a request.
const IN_USE_TIMEOUT: Duration = Duration::from_secs(2);
/// Bounds of the retry delay of a rejected request.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Shortest interval between two reports while accounts are in use. The interval grows
/// with the number of entries to bound the load on the aggregator.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_millis(3);
/// Longest interval between two reports; shorter than a level stays valid.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(600);

/// For this long after its start an entry treats no limit as ample: the aggregator may
/// have restarted as well and not know the earlier usage, and all entries release their
/// held requests at the same time.
const WARMUP_TIME: Duration = Duration::from_secs(2);
/// Number of responses of an aggregator after which all other entries have reported
/// their demand to it.
const RESPONSES_UNTIL_SYNCED: u32 = 2;
/// Number of entries assumed while the size of the fleet is unknown.
const DEFAULT_ENTRY_COUNT: u32 = 32;

/// Inputs of a decision on a limit, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LimitDecisionInputs {
    /// Units that the fleet may run now; `None` without a valid level.
    pub level: Option<f64>,
    /// Age of the level that the aggregator returned.
    pub age: Option<Duration>,
    /// Number of entries that share the limit.
    pub entries: u32,
    /// Fraction of the limit that the entry uses without a level.
    pub share: f64,
    /// Age of that fraction; `None` if it is an equal part.
    pub share_age: Option<Duration>,
}

/// A limit that is new or has changed.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    pub account: ClientAccountName,
    pub bounds: LimitBounds,
}

/// Rejection of a request because its account is over its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitExceeded {
    /// Time until the account is expected to have units for the request.
    pub retry_after: Duration,
    pub inputs: LimitDecisionInputs,
}

/// Enforces the limits of client accounts at one entry.
///
/// An aggregator sums up the usage of all entries. Each entry may use the full limit,
/// according to the last level that the aggregator returned.
#[derive(Debug)]
pub struct AccountLimiter {
    settings: LimitSettings,
    entry: BoxName,
    incarnation: Incarnation,
    started_at: Instant,
    /// Number of entries that share the limits; `None` while unknown.
    entry_count: Option<u32>,
    aggregator: Option<Incarnation>,
    /// Responses received from this aggregator.
    responses: u32,
    accounts: HashMap<AccountFingerprint, SharedBucket>,
}

impl AccountLimiter {
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
            started_at: now,
            entry_count: None,
            aggregator: None,
            responses: 0,
            accounts: HashMap::new(),
        }
    }

    /// Applies the limits of a new configuration, removes accounts without a limit, and
    /// returns the limits that are new or have changed.
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
                // an account is listed once per API key
                continue;
            }
            let (bounds, entries) = (self.settings.bounds(limit), self.entry_count());
            let known = self.accounts.get(&account.fingerprint);
            if known.is_none_or(|bucket| bucket.bounds() != bounds) {
                changed.push(LimitChange {
                    account: account.name.clone(),
                    bounds,
                });
            }
            let phase = phase_of(&self.entry, account.fingerprint);
            let bucket = self.accounts.entry(account.fingerprint);
            let settings = &self.settings;
            let bucket =
                bucket.or_insert_with(|| SharedBucket::new(bounds, entries, phase, settings, now));
            bucket.set_bounds(bounds, entries, now);
        }
        self.accounts.retain(|account, _| limited.contains(account));
        changed
    }

    /// Sets the number of entries that share the limits; `None` while it is unknown.
    pub fn set_entry_count(&mut self, entries: Option<u32>, now: Instant) {
        if entries == self.entry_count {
            return;
        }
        self.entry_count = entries;
        let entries = self.entry_count();
        for bucket in self.accounts.values_mut() {
            bucket.set_bounds(bucket.bounds(), entries, now);
        }
    }

    fn entry_count(&self) -> u32 {
        self.entry_count.unwrap_or(DEFAULT_ENTRY_COUNT)
    }

    /// Counts a request towards the demand of its account, whether or not it is admitted.
    pub fn record_request(
        &mut self,
        account: AccountFingerprint,
        limit: &RateLimit,
        charge: u64,
        now: Instant,
    ) {
        self.bucket(account, limit, now).record_request(charge, now);
    }

    /// Charges a request to its account.
    ///
    /// # Errors
    /// The account is over its limit, and the request must not run.
    pub fn charge(
        &mut self,
        account: AccountFingerprint,
        limit: &RateLimit,
        charge: u64,
        now: Instant,
    ) -> Result<(), LimitExceeded> {
        let (bounds, entries) = (self.settings.bounds(limit), self.entry_count());
        let startup = self.startup_state(now);
        let bucket = self.bucket(account, limit, now);
        if bucket.try_charge(charge, startup, now) {
            return Ok(());
        }
        let delay_s = bucket.missing(charge, now) / bounds.steady_per_s;
        let available_at =
            now + Duration::from_secs_f64(delay_s.min(MAX_RETRY_AFTER.as_secs_f64()));
        let retry_at = bucket.next_retry_at.max(available_at);
        let entry_per_s = bounds.steady_per_s / f64::from(entries.max(1));
        let spacing = Duration::from_secs_f64(
            (charge as f64 / entry_per_s).min(MAX_RETRY_AFTER.as_secs_f64()),
        );
        bucket.next_retry_at = (retry_at + spacing).min(now + MAX_RETRY_AFTER);
        let inputs = inputs_of(bucket, entries, now);
        Err(LimitExceeded {
            retry_after: retry_at
                .saturating_duration_since(now)
                .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            inputs,
        })
    }

    fn bucket(
        &mut self,
        account: AccountFingerprint,
        limit: &RateLimit,
        now: Instant,
    ) -> &mut SharedBucket {
        let (bounds, entries) = (self.settings.bounds(limit), self.entry_count());
        let phase = phase_of(&self.entry, account);
        let bucket = self.accounts.entry(account);
        let settings = &self.settings;
        bucket.or_insert_with(|| SharedBucket::new(bounds, entries, phase, settings, now))
    }

    /// Returns whether a request that was charged is beyond its account's share of the fleet,
    /// with the inputs of that decision; `None` if it is within.
    ///
    /// Without a recent level, no request is beyond.
    pub fn beyond_share(
        &mut self,
        account: AccountFingerprint,
        charge: u64,
        now: Instant,
    ) -> Option<LimitDecisionInputs> {
        let entries = self.entry_count();
        let bucket = self.accounts.get_mut(&account)?;
        bucket
            .is_beyond_share(charge, now)
            .then(|| inputs_of(bucket, entries, now))
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&mut self, account: AccountFingerprint, charge: u64, now: Instant) {
        if let Some(bucket) = self.accounts.get_mut(&account) {
            bucket.refund(charge, now);
        }
    }

    /// Returns the time until the next report is due.
    pub fn report_interval(&self, now: Instant) -> Duration {
        let is_used = self.accounts.values().any(|b| is_in_use(b, now));
        match is_used {
            true => (REPORT_INTERVAL_PER_ENTRY * self.entry_count())
                .clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL),
            false => MAX_REPORT_INTERVAL,
        }
    }

    /// Returns the report to send to the aggregator, or `None` if no account has a limit.
    pub fn usage_report(&self, now: Instant) -> Option<UsageReport> {
        if self.accounts.is_empty() {
            return None;
        }
        let must_report = |b: &SharedBucket| {
            is_in_use(b, now) || b.has_unreported() || !b.is_known_to(self.aggregator)
        };
        let reported = self.accounts.iter();
        let reported = reported.filter(|(_, bucket)| must_report(bucket));
        let accounts =
            reported.map(|(account, bucket)| bucket.usage(*account, self.entry_count(), now));
        Some(UsageReport {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            entries: self.entry_count.unwrap_or(0),
            window_ms: self.settings.window.as_millis() as u32,
            accounts: accounts.collect(),
        })
    }

    /// Applies the aggregator's response to a report.
    pub fn on_response(&mut self, report: &UsageReport, response: &UsageResponse, now: Instant) {
        if self.aggregator != Some(response.incarnation) {
            self.responses = 0;
        }
        self.aggregator = Some(response.incarnation);
        self.responses += 1;
        let fraction =
            f64::from(response.entries) / f64::from(report.entries.max(response.entries));
        let usages = report.accounts.iter().map(|usage| (usage.account, usage));
        let usages: HashMap<AccountFingerprint, &AccountUsage> = usages.collect();
        let levels = response.accounts.iter().map(|level| (level.account, level));
        let levels: HashMap<AccountFingerprint, &AccountLevel> = levels.collect();
        for (account, bucket) in &mut self.accounts {
            let usage = usages.get(account).copied();
            match levels.get(account) {
                Some(level) => bucket.on_level(response.incarnation, usage, level, now),
                None => bucket.on_ample(fraction * AMPLE_FRACTION, now),
            }
        }
    }

    /// Returns the age of an account's level, or `None` if no valid level is known.
    pub fn level_age(&self, account: AccountFingerprint, now: Instant) -> Option<Duration> {
        self.accounts.get(&account)?.level_age(now)
    }
    /// Returns whether the demand for an account at all entries is known.
    pub fn knows_fleet_demand(&self, account: AccountFingerprint, now: Instant) -> bool {
        let bucket = self.accounts.get(&account);
        let is_known = bucket.is_some_and(|bucket| bucket.demand_per_s(now).is_some());
        is_known && self.startup_state(now) != StartupState::Unsynced
    }

    fn startup_state(&self, now: Instant) -> StartupState {
        let is_warming_up = now.saturating_duration_since(self.started_at) < WARMUP_TIME;
        match is_warming_up {
            true if self.responses < RESPONSES_UNTIL_SYNCED => StartupState::Unsynced,
            true => StartupState::Warmup,
            false => StartupState::Ready,
        }
    }
}

fn inputs_of(bucket: &SharedBucket, entries: u32, now: Instant) -> LimitDecisionInputs {
    LimitDecisionInputs {
        level: bucket.fleet_level(now),
        age: bucket.level_age(now),
        entries,
        share: bucket.share_fraction(now),
        share_age: bucket.share_age(now),
    }
}

/// Returns a value between 0 and 1 that is evenly distributed over the entries.
fn phase_of(entry: &BoxName, account: AccountFingerprint) -> f64 {
    rendezvous_weight(account, stable_hash(entry)) as f64 / u64::MAX as f64
}

fn is_in_use(bucket: &SharedBucket, now: Instant) -> bool {
    let last_request_at = bucket.last_request_at;
    last_request_at.is_some_and(|at| now.saturating_duration_since(at) < IN_USE_TIMEOUT)
}
