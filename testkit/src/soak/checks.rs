//! the promises, held against what was seen

use {
    super::{AskKind, Asked, BackendRecord, Outcome, SoakLedger},
    crate::users_platform::ADAPTER_SLOTS,
    std::{
        collections::{BTreeSet, HashSet},
        fmt::{self, Display, Formatter},
        time::Instant,
    },
};

/// runs that a safe request may have: the attempts of its route
const SAFE_RUNS: usize = 2;
/// statuses that promise that the request has not run and never will
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// engines that end until a request is known to do that, and tries that may still reach some
const UNTIL_KNOWN: u32 = 3;
const MORE_TRIES: u32 = 3;
/// requests that may come while a back end rests
const MOST_IN_A_REST: usize = 2;
const PLAIN_BODY: &[u8] = b"the whole answer";

/// a promise that was not kept
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    RunTooOften { id: String, runs: usize },
    RefusedAndRun { id: String, status: u16 },
    ForeignAnswer { id: String },
    SpoiltAnswer { id: String },
    NotFound { id: String },
    UnaskedRun { id: String },
    TwoHolders { engine: String },
    FenceFell { engine: String },
    TooManyAdapters { engine: String, most: usize },
    SentToLeaving { engine: String, requests: usize },
    RestNotKept { engine: String, requests: usize },
    LimitNotKept { engine: String, over: usize },
    ConfigurationBack { from: u64, to: u64 },
    BudgetExceeded { repeats: usize, allowed: usize },
    CrashingSent { ended: u32, allowed: u32 },
    Ended { process: String },
    NotRecovered { what: String },
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// each promise that was not kept
pub fn violations(ledger: &SoakLedger) -> Vec<Violation> {
    let mut found = Vec::new();
    found.extend(runs_and_refusals(ledger));
    found.extend(ledger.asked.iter().filter_map(answer));
    found.extend(unasked(ledger));
    found.extend(ledger.backends.iter().flat_map(orders));
    found.extend(ledger.backends.iter().flat_map(own_words));
    found.extend(configurations(ledger));
    found.extend(budget(ledger, true));
    found.extend(budget(ledger, false));
    found.extend(crashing(ledger));
    let ended = ledger.ended_by_themselves.iter();
    found.extend(ended.map(|process| Violation::Ended {
        process: process.clone(),
    }));
    let missing = ledger.not_recovered.iter();
    found.extend(missing.map(|what| Violation::NotRecovered { what: what.clone() }));
    found
}

fn runs_and_refusals(ledger: &SoakLedger) -> Vec<Violation> {
    let runs = ledger.runs();
    let mut found = Vec::new();
    for asked in &ledger.asked {
        let id = asked.id.clone();
        let runs = runs.get(id.as_str()).copied().unwrap_or(0);
        let most = match asked.kind {
            AskKind::Safe => SAFE_RUNS,
            AskKind::Unsafe | AskKind::Stream => 1,
        };
        if runs > most {
            found.push(Violation::RunTooOften { id, runs });
            continue;
        }
        let Outcome::Answered { status, .. } = asked.outcome else {
            continue;
        };
        if PROMISES.contains(&status) && runs > 0 && asked.kind != AskKind::Safe {
            found.push(Violation::RefusedAndRun { id, status });
        }
    }
    found
}

/// an answer is that of the request, and whole where it seems so
fn answer(asked: &Asked) -> Option<Violation> {
    let Outcome::Answered {
        status,
        is_complete,
        id,
        is_signed,
        body,
    } = &asked.outcome
    else {
        return None;
    };
    let own = asked.id.clone();
    if *id != own {
        return Some(Violation::ForeignAnswer { id: own });
    }
    if *status == 404 {
        return Some(Violation::NotFound { id: own });
    }
    let is_success = (200..300).contains(status);
    let is_sound = match asked.kind {
        AskKind::Safe | AskKind::Unsafe => body == PLAIN_BODY,
        AskKind::Stream => is_whole_stream(body),
    };
    let is_spoilt = is_success && *is_complete && !(*is_signed && is_sound);
    is_spoilt.then_some(Violation::SpoiltAnswer { id: own })
}

/// its events are numbered from 0 on without a gap
fn is_whole_stream(body: &[u8]) -> bool {
    let text = String::from_utf8_lossy(body);
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let numbers: Vec<usize> = numbers.filter_map(|n| n.trim().parse().ok()).collect();
    !numbers.is_empty() && numbers.iter().enumerate().all(|(at, n)| at == *n)
}

fn unasked(ledger: &SoakLedger) -> Vec<Violation> {
    let asked: HashSet<&str> = ledger.asked.iter().map(|a| a.id.as_str()).collect();
    let runs = ledger.backends.iter().flat_map(|b| &b.runs);
    let unknown: BTreeSet<&String> = runs.filter(|id| !asked.contains(id.as_str())).collect();
    let found = unknown
        .into_iter()
        .map(|id| Violation::UnaskedRun { id: id.clone() });
    found.collect()
}

fn orders(backend: &BackendRecord) -> Vec<Violation> {
    let engine = || backend.name.clone();
    let mut found = Vec::new();
    let holders: BTreeSet<&str> = backend.orders.iter().map(|o| o.holder.as_str()).collect();
    if holders.len() > 1 {
        found.push(Violation::TwoHolders { engine: engine() });
    }
    if backend.orders.windows(2).any(|w| w[1].fence < w[0].fence) {
        found.push(Violation::FenceFell { engine: engine() });
    }
    if backend.most_adapters > ADAPTER_SLOTS {
        found.push(Violation::TooManyAdapters {
            engine: engine(),
            most: backend.most_adapters,
        });
    }
    found
}

/// what a back end said of itself is heeded
fn own_words(backend: &BackendRecord) -> Vec<Violation> {
    let engine = || backend.name.clone();
    let mut found = Vec::new();
    if backend.requests_while_leaving > 0 {
        found.push(Violation::SentToLeaving {
            engine: engine(),
            requests: backend.requests_while_leaving,
        });
    }
    if backend.max_requests_in_backoff > MOST_IN_A_REST {
        found.push(Violation::RestNotKept {
            engine: engine(),
            requests: backend.max_requests_in_backoff,
        });
    }
    if backend.requests_over_limit > 0 {
        found.push(Violation::LimitNotKept {
            engine: engine(),
            over: backend.requests_over_limit,
        });
    }
    found
}

fn configurations(ledger: &SoakLedger) -> Vec<Violation> {
    let lives = ledger.configurations.lives.iter();
    let back = lives.flat_map(|life| life.windows(2).filter(|w| w[1] <= w[0]));
    let found = back.map(|w| Violation::ConfigurationBack {
        from: w[0],
        to: w[1],
    });
    found.collect()
}

/// a request that ends engines reaches few of them, and as many again where it is forgotten
fn crashing(ledger: &SoakLedger) -> Option<Violation> {
    let allowed = UNTIL_KNOWN + MORE_TRIES + UNTIL_KNOWN * ledger.forgotten;
    let ended = ledger.crashes;
    (ended > allowed).then_some(Violation::CrashingSent { ended, allowed })
}

/// arrivals beyond the first of each request, of engines or of the plain service, in any
/// window that begins with one
fn budget(ledger: &SoakLedger, of_engines: bool) -> Option<Violation> {
    let backends = ledger.backends.iter().filter(|b| b.is_engine == of_engines);
    let mut arrivals: Vec<&(Instant, String)> = backends.flat_map(|b| &b.arrivals).collect();
    arrivals.sort();
    let mut seen = HashSet::new();
    let rows: Vec<(Instant, bool)> = arrivals
        .into_iter()
        .map(|(at, id)| (*at, !seen.insert(id)))
        .collect();
    let mut worst = None;
    let (mut from, mut repeats, mut requests) = (0, 0, 0);
    for (at, is_repeat) in &rows {
        match is_repeat {
            true => repeats += 1,
            false => requests += 1,
        }
        while *at - rows[from].0 > ledger.retry_window {
            match rows[from].1 {
                true => repeats -= 1,
                false => requests -= 1,
            }
            from += 1;
        }
        let allowed = (ledger.retry_ratio * requests as f64 + ledger.retry_extra) as usize;
        if repeats > allowed {
            worst = Some(Violation::BudgetExceeded { repeats, allowed });
        }
    }
    worst
}
