//! A fleet of entries that share the limits of client accounts while groups of entries can't
//! reach some of the aggregators. Fixed seeds, time in steps, no sockets.

use {
    chalkcart_coordination::{
        limits::{AccountLimiter, LimitSettings, TokenBucket, UsageAggregator},
        membership::{rendezvous_weight, AggregatedState, AggregatorSelector},
    },
    chalkcart_protocol::{
        encode,
        peer::{UsageReport, UsageResponse},
    },
    chalkcart_state::accounts::{AccountFingerprint, ClientAccount, LimitUnit, RateLimit},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

pub const STEP: Duration = Duration::from_millis(25);
/// 30 s
pub const STEPS: u64 = 1_200;
/// Steps in which entries start and learn the demand, 3 s; nothing is counted.
const WARMUP_STEPS: u64 = 120;
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.25;
const SLACK: f64 = 17_000.0;
const AGGREGATORS: u8 = 6;
/// Time after which an entry gives up a call to an aggregator, 250 ms.
const CALL_TIMEOUT_STEPS: u64 = 10;

/// Limits of the accounts in tokens per second, and the usual demand as a fraction of it.
pub const ACCOUNTS: [(f64, f64); 6] = [
    (160_000.0, 0.65),
    (60_000.0, 0.7),
    (30_000.0, 0.6),
    (18_000.0, 0.6),
    (18_000.0, 0.65),
    (30_000.0, 0.5),
];
/// Tokens of a request: plain ones, short and long streams, and few large prompts.
const UNITS: [u64; 8] = [200, 200, 1_600, 1_600, 2_400, 2_400, 2_400, 4_500];
/// Accounts of which one sends 6 to 7.5 times its usual demand for `HOT_STEPS`.
const HOT_ACCOUNTS: [usize; 4] = [5, 3, 1, 0];
/// 6.5 s
const HOT_STEPS: u64 = 260;

/// Which entries can't reach which aggregators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// No link fails.
    Calm,
    /// A third of the entries reaches no aggregator.
    ThirdFromAll,
    /// A third of the entries can't reach some of the aggregators, but others.
    ThirdFromSome,
    /// No entry reaches an aggregator.
    AllFromAll,
    /// Two halves of the entries reach different aggregators.
    Halves,
}

/// Deterministic random numbers from a seed.
struct SeededRandom(u64, u64);

impl SeededRandom {
    fn next(&mut self) -> u64 {
        self.1 += 1;
        rendezvous_weight(self.0, self.1)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
    fn fraction(&mut self) -> f64 {
        (self.below(1_000_000) as f64 + 1.0) / 1e6
    }
    /// Returns true on average once in so many calls.
    fn once_in(&mut self, calls: u64) -> bool {
        self.below(calls) == 0
    }
}

struct Entry {
    limiter: AccountLimiter,
    selector: AggregatorSelector,
    report_at: u64,
    /// The call in flight: aggregator, start and report.
    pending_call: Option<(SocketAddr, u64, UsageReport)>,
}

/// Links that fail for a time.
struct Cut {
    from: u64,
    until: u64,
    /// The aggregators that each entry can't reach, as bits.
    unreachable: Vec<u8>,
}

enum Message {
    Report(usize, SocketAddr, UsageReport),
    Response(usize, SocketAddr, UsageResponse),
}

/// What was counted in one run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    pub requests: u64,
    /// Rejected although the account was within its limit: accounts of usual demand.
    pub rejected_usual: u64,
    /// The same for the account that sends a multiple of its usual demand.
    pub rejected_hot: u64,
    /// Of both, those while a link failed.
    pub rejected_in_cut: u64,
    /// Of both, those at an entry without a recent level.
    pub rejected_without_level: u64,
    pub messages: u64,
    pub bytes: u64,
}

impl Counts {
    /// Returns the requests rejected although their account was within its limit.
    pub fn rejected(&self) -> u64 {
        self.rejected_usual + self.rejected_hot
    }
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.rejected_usual += other.rejected_usual;
        self.rejected_hot += other.rejected_hot;
        self.rejected_in_cut += other.rejected_in_cut;
        self.rejected_without_level += other.rejected_without_level;
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

pub struct Fleet {
    random: SeededRandom,
    start: Instant,
    step: u64,
    cuts: Vec<Cut>,
    is_lossy: bool,
    hot_account: usize,
    hot_from: u64,
    hot_factor: f64,
    accounts: Vec<(AccountFingerprint, RateLimit)>,
    /// Weights of the entries in the requests of each account.
    weights: Vec<Vec<f64>>,
    next_arrival_s: Vec<f64>,
    entries: Vec<Entry>,
    pub aggregators: BTreeMap<SocketAddr, (UsageAggregator, u64)>,
    in_transit: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Units admitted by account, with their steps.
    admitted: Vec<VecDeque<(u64, u64)>>,
    /// What each account may still use by its limit, after what it was admitted.
    within: Vec<TokenBucket>,
    pub counts: Counts,
}

fn account(number: usize) -> ClientAccount {
    let per_s = ACCOUNTS[number].0;
    let limit = RateLimit {
        unit: LimitUnit::Tokens { plain: 200 },
        per_s,
        burst: per_s,
    };
    ClientAccount::new(&format!("account-{number}"), 1, Some(limit))
}

impl Fleet {
    pub fn new(seed: u64, entries: usize, pattern: Pattern, is_by_demand: bool) -> Self {
        let start = Instant::now();
        let mut random = SeededRandom(seed, 0);
        let settings = LimitSettings {
            window: WINDOW,
            overage: OVERAGE,
            slack: SLACK,
            is_share_by_demand: is_by_demand,
        };
        let listed: Vec<ClientAccount> = (0..ACCOUNTS.len()).map(account).collect();
        let entry = |n: usize| {
            let mut limiter = AccountLimiter::new(settings, format!("e{n}"), n as u64, start);
            limiter.set_entry_count(Some(entries as u32), start);
            limiter.set_accounts(listed.iter(), start);
            Entry {
                limiter,
                selector: AggregatorSelector::new(AggregatedState::Limits),
                report_at: 0,
                pending_call: None,
            }
        };
        let aggregator = |n: u8| SocketAddr::from(([10, 0, 0, n], 80));
        let aggregators =
            (0..AGGREGATORS).map(|n| (aggregator(n), (UsageAggregator::new(u64::from(n)), 0)));
        let limits = listed.iter().map(|a| a.limit.expect("a limit"));
        let within = limits.clone().map(|limit| {
            let mut bucket = TokenBucket::new(limit.per_s, limit.burst, start);
            bucket.set_level(limit.burst, start);
            bucket
        });
        let within = within.collect();
        let accounts = listed.iter().map(|a| a.fingerprint).zip(limits).collect();
        let cuts = draw_cuts(&mut random, entries, pattern);
        let hot_from = 200 + random.below(300);
        let hot_factor = 6.0 + 1.5 * random.fraction();
        let weights = (0..ACCOUNTS.len()).map(|_| draw_weights(&mut random, entries));
        let weights = weights.collect();
        Self {
            random,
            start,
            step: 0,
            cuts,
            is_lossy: pattern != Pattern::Calm,
            hot_account: HOT_ACCOUNTS[seed as usize % HOT_ACCOUNTS.len()],
            hot_from,
            hot_factor,
            accounts,
            weights,
            next_arrival_s: vec![0.0; ACCOUNTS.len()],
            entries: (0..entries).map(entry).collect(),
            aggregators: aggregators.collect(),
            in_transit: BTreeMap::new(),
            sent: 0,
            admitted: vec![VecDeque::new(); ACCOUNTS.len()],
            within,
            counts: Counts::default(),
        }
    }

    pub fn run(mut self) -> Self {
        for _ in 0..STEPS {
            self.advance();
        }
        self
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn is_cut(&self, entry: usize, aggregator: SocketAddr) -> bool {
        let bit = match aggregator {
            SocketAddr::V4(addr) => 1 << addr.ip().octets()[3],
            SocketAddr::V6(_) => 0,
        };
        let active = self.cuts.iter();
        let mut active = active.filter(|cut| cut.from <= self.step && self.step < cut.until);
        active.any(|cut| cut.unreachable[entry] & bit != 0)
    }

    fn send(&mut self, entry: usize, aggregator: SocketAddr, message: Message) {
        self.counts.messages += 1;
        let body = match &message {
            Message::Report(_, _, report) => encode(report),
            Message::Response(_, _, response) => encode(response),
        };
        self.counts.bytes += body.expect("a message").len() as u64;
        let is_lost = self.is_lossy && self.random.once_in(200);
        if is_lost || self.is_cut(entry, aggregator) {
            return;
        }
        self.sent += 1;
        let is_late = self.is_lossy && self.random.once_in(20);
        let delay = 1 + if is_late { self.random.below(12) } else { 0 };
        let key = (self.step + delay, self.sent);
        self.in_transit.insert(key, message);
    }

    fn advance(&mut self) {
        self.step += 1;
        if self.is_lossy && self.random.once_in(400) {
            // an aggregator restarts
            let number = self.random.below(u64::from(AGGREGATORS)) as usize;
            let incarnation = self.random.next();
            let dead_until = self.step + self.random.below(160);
            let row = self.aggregators.values_mut().nth(number);
            *row.expect("an aggregator") = (UsageAggregator::new(incarnation), dead_until);
        }
        if self.random.once_in(200) {
            // clients move to other entries
            let account = self.random.below(ACCOUNTS.len() as u64) as usize;
            let entries = self.entries.len();
            let weights = draw_weights(&mut self.random, entries);
            let changed = self.random.below(entries as u64) as usize;
            self.weights[account][changed] = weights[changed];
        }
        self.deliver();
        for number in 0..self.entries.len() {
            self.report(number);
        }
        for account in 0..ACCOUNTS.len() {
            self.serve(account);
        }
    }

    fn deliver(&mut self) {
        let (step, now) = (self.step, self.now());
        while let Some(first) = self.in_transit.first_entry() {
            if first.key().0 > step {
                return;
            }
            match first.remove() {
                Message::Report(entry, to, report) => {
                    let aggregator = self.aggregators.get_mut(&to).expect("an aggregator");
                    if aggregator.1 <= step {
                        let response = aggregator.0.on_report(report, now);
                        self.send(entry, to, Message::Response(entry, to, response));
                    }
                }
                Message::Response(number, from, response) => {
                    let entry = &mut self.entries[number];
                    let call = entry.pending_call.take_if(|(to, ..)| *to == from);
                    if let Some((_, _, report)) = call {
                        entry.selector.on_response(from);
                        entry.limiter.on_response(&report, &response, now);
                        let interval = entry.limiter.report_interval(now);
                        let steps = interval.as_millis() / STEP.as_millis();
                        entry.report_at = step + steps as u64;
                    }
                }
            }
        }
    }

    fn report(&mut self, number: usize) {
        let now = self.now();
        let entry = &mut self.entries[number];
        let is_late = |(_, since, _): &mut (SocketAddr, u64, UsageReport)| {
            *since + CALL_TIMEOUT_STEPS < self.step
        };
        if let Some((aggregator, ..)) = entry.pending_call.take_if(is_late) {
            entry.selector.on_failure(aggregator, now);
            entry.report_at = self.step;
        }
        if entry.pending_call.is_some() || entry.report_at > self.step {
            return;
        }
        let aggregators: Vec<SocketAddr> = self.aggregators.keys().copied().collect();
        let selected = entry.selector.select(&aggregators, now);
        let (Some(report), Some(to)) = (entry.limiter.usage_report(now), selected) else {
            return;
        };
        entry.pending_call = Some((to, self.step, report.clone()));
        self.send(number, to, Message::Report(number, to, report));
    }

    /// Generates the requests of one account in one step.
    fn serve(&mut self, account: usize) {
        let (per_s, part) = ACCOUNTS[account];
        let is_hot_now = account == self.hot_account
            && (self.hot_from..self.hot_from + HOT_STEPS).contains(&self.step);
        let factor = if is_hot_now { self.hot_factor } else { 1.0 };
        let mean = UNITS.iter().sum::<u64>() as f64 / UNITS.len() as f64;
        let requests_per_s = per_s * part * factor / mean;
        let until_s = STEP.as_secs_f64() * self.step as f64;
        if is_hot_now {
            self.next_arrival_s[account] = self.next_arrival_s[account].min(until_s);
        }
        while self.next_arrival_s[account] <= until_s {
            let pause = -self.random.fraction().ln() / requests_per_s;
            self.next_arrival_s[account] += pause;
            let units = UNITS[self.random.below(UNITS.len() as u64) as usize];
            let entry = self.draw_entry(account);
            self.charge(entry, account, units);
        }
    }

    fn draw_entry(&mut self, account: usize) -> usize {
        let sum: f64 = self.weights[account].iter().sum();
        let mut left = self.random.fraction() * sum;
        for (number, weight) in self.weights[account].iter().enumerate() {
            left -= weight;
            if left <= 0.0 {
                return number;
            }
        }
        0
    }

    fn charge(&mut self, number: usize, account: usize, units: u64) {
        let now = self.now();
        let (fingerprint, limit) = self.accounts[account];
        let limiter = &mut self.entries[number].limiter;
        limiter.record_request(fingerprint, &limit, units, now);
        let is_admitted = limiter.charge(fingerprint, &limit, units, now).is_ok();
        let is_within = self.within[account].level(now) >= units as f64;
        if is_admitted {
            self.admitted[account].push_back((self.step, units));
            self.within[account].spend(units as f64, now);
        }
        if self.step <= WARMUP_STEPS {
            return;
        }
        self.counts.requests += 1;
        if is_admitted || !is_within {
            return;
        }
        match account == self.hot_account {
            true => self.counts.rejected_hot += 1,
            false => self.counts.rejected_usual += 1,
        }
        let mut cuts = self.cuts.iter();
        let is_in_cut = cuts.any(|cut| (cut.from..cut.until).contains(&self.step));
        self.counts.rejected_in_cut += u64::from(is_in_cut);
        let level_age = self.entries[number].limiter.level_age(fingerprint, now);
        self.counts.rejected_without_level += u64::from(level_age.is_none());
    }

    /// Returns the maximum units admitted in one window, relative to the bound.
    pub fn max_window_usage(&self, account: usize) -> f64 {
        let per_s = ACCOUNTS[account].0;
        let bound = (per_s * WINDOW.as_secs_f64() + per_s) * (1.0 + OVERAGE) + SLACK;
        let window = (WINDOW.as_millis() / STEP.as_millis()) as u64;
        let (mut max, mut sum, mut in_window) = (0, 0, VecDeque::new());
        for (step, units) in &self.admitted[account] {
            in_window.push_back((*step, *units));
            sum += units;
            while in_window.front().is_some_and(|(at, _)| at + window < *step) {
                sum -= in_window.pop_front().map_or(0, |(_, units)| units);
            }
            max = max.max(sum);
        }
        max as f64 / bound
    }
}

/// Draws the weights of the entries for one account: some have up to eight times the
/// requests of others.
fn draw_weights(random: &mut SeededRandom, entries: usize) -> Vec<f64> {
    (0..entries)
        .map(|_| 2f64.powf(3.0 * random.fraction()))
        .collect()
}

/// Draws two times of 5 to 12 s in which links fail.
fn draw_cuts(random: &mut SeededRandom, entries: usize, pattern: Pattern) -> Vec<Cut> {
    let all = (1u8 << AGGREGATORS) - 1;
    let mut cuts = Vec::new();
    let mut from = 160 + random.below(160);
    while pattern != Pattern::Calm && from < STEPS {
        let until = from + 200 + random.below(280);
        let some = loop {
            let some = random.next() as u8 & all;
            if some != 0 && some != all {
                break some;
            }
        };
        // the busiest entries of an account may be on one side
        let first = random.below(entries as u64) as usize;
        let is_third = |n: usize| (n + entries - first) % entries < entries / 3;
        let unreachable = (0..entries).map(|n| match pattern {
            Pattern::Calm => 0,
            Pattern::ThirdFromAll if is_third(n) => all,
            Pattern::ThirdFromSome if is_third(n) => some,
            Pattern::ThirdFromAll | Pattern::ThirdFromSome => 0,
            Pattern::AllFromAll => all,
            Pattern::Halves if n % 2 == 0 => some,
            Pattern::Halves => all & !some,
        });
        let unreachable = unreachable.collect();
        cuts.push(Cut {
            from,
            until,
            unreachable,
        });
        from = until + 80 + random.below(160);
    }
    cuts
}
