//! Entries that share one limited back end, in simulated time: the code of their decisions and
//! of the dealer beside the back end, without sockets.

// each user takes a part of it
#![allow(dead_code)]

use {
    chalkcart_coordination::{
        intake::{EngineLimit, NamedLimit, Sharers},
        own_word::{LimitWord, RequestRate},
    },
    chalkcart_protocol::peer::{AdmissionReport, AdmissionResponse},
    chalkcart_state::backends::BackendId,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(5);
/// over this time requests are counted against a limit
pub const WINDOW: Duration = Duration::from_secs(4);
/// a limit binds this long after it was first named
const CONTACT: Duration = Duration::from_secs(3);
/// an entry knows what an answer says this long after its request was sent
const ANSWER_AFTER: Duration = Duration::from_millis(50);
/// one way between an entry and a sidecar
const WAY: Duration = Duration::from_millis(2);
/// an entry is bound by the rule this long after an answer told it
const TOLD: Duration = Duration::from_millis(500);
/// a sidecar says this often what limit its engine names
const SAYS_EVERY: u64 = 20;
/// requests that only this back end can serve wait this long
const PATIENCE: Duration = Duration::from_millis(800);

/// how a limit is shared
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// an equal part for each entry
    EqualParts,
    /// permits of the sidecar, and small equal parts for those that do not hear it
    Permits,
    /// few entries, chosen by hash; the others pass the back end by
    FewEntries,
}

/// what happens to the fleet
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// the dealer ends and begins anew, again and again
    DealerRestarts,
    /// half of the entries do not reach the dealer, from the middle on
    HalfCut,
    /// entries stand still for a while, with permits in hand
    Freezes,
    /// the limit changes each second
    LimitChanges,
}

#[derive(Debug, Clone, Copy)]
pub struct Setting {
    pub way: Way,
    pub trouble: Trouble,
    pub entries: u32,
    pub per_s: f64,
    /// requests a second that come for this back end, over all entries
    pub demand_per_s: f64,
    /// part of them that comes to the first entry
    pub skew: f64,
    pub seconds: u64,
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// windows of 4 s with more than is allowed
    pub windows_over: usize,
    pub most_in_window: usize,
    /// the same, with those that were not told
    pub most_of_all: usize,
    pub allowed: usize,
    pub sent: usize,
    /// of what the limit, or what came, would have let be sent
    pub unused: f64,
    /// questions to the dealer
    pub questions: usize,
}

struct Entry {
    limit: NamedLimit,
    is_active: bool,
    waiting: Vec<Instant>,
    frozen_until: Option<Instant>,
    /// when an answer first named a limit
    told: Option<Instant>,
    answers: Vec<(Instant, Instant, f64)>,
    dealt: Option<(Instant, Instant, Option<AdmissionResponse>)>,
}

pub fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::of_per_s(per_s).unwrap_or_default()
}

/// entries that may each save a request without harm
fn few(per_s: f64, entries: u32) -> u32 {
    entries.min((2.0 * per_s + 3.0) as u32)
}

pub fn play(setting: Setting) -> Outcome {
    let mut rng = StdRng::seed_from_u64(setting.seed);
    let backend = BackendId::from("engine");
    let begun = Instant::now();
    let few = few(setting.per_s, setting.entries);
    let mut dealer = EngineLimit::default();
    let mut dealer_down_until = begun;
    let mut entries: Vec<Entry> = (0..setting.entries)
        .map(|number| Entry {
            limit: NamedLimit::default(),
            is_active: setting.way != Way::FewEntries || number < few,
            waiting: Vec::new(),
            frozen_until: None,
            told: None,
            answers: Vec::new(),
            dealt: None,
        })
        .collect();
    let phases: Vec<f64> = entries.iter().map(|_| rng.random()).collect();
    let mut outcome = Outcome {
        allowed: allowed(setting.per_s),
        ..Outcome::default()
    };
    let (mut sent, mut came, mut per_s) = (Vec::new(), 0usize, setting.per_s);
    let steps = setting.seconds * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = begun + STEP * step as u32;
        let second = step * STEP.as_millis() as u64 / 1_000;
        let is_second_half = step * 2 > steps;
        if setting.trouble == Trouble::LimitChanges {
            // never above that by which windows are judged
            per_s = setting.per_s * [1.0, 0.5, 0.75][second as usize % 3];
        }
        let restarts = setting.trouble == Trouble::DealerRestarts;
        if restarts && step % 1_000 == 0 {
            dealer = EngineLimit::default();
            dealer_down_until = now + Duration::from_millis(rng.random_range(0..1_500));
        }
        let is_dealer_up = now >= dealer_down_until;
        let expected = setting.demand_per_s * STEP.as_secs_f64();
        let mut arrivals = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
        while arrivals > 0 {
            arrivals -= 1;
            came += 1;
            let number = match rng.random::<f64>() < setting.skew {
                true => 0,
                false => rng.random_range(0..setting.entries as usize),
            };
            entries[number].waiting.push(now);
        }
        for (number, entry) in entries.iter_mut().enumerate() {
            let freezes = setting.trouble == Trouble::Freezes && rng.random_range(0..2_000) == 0;
            if freezes {
                let time = Duration::from_millis(rng.random_range(100..3_000));
                entry.frozen_until = Some(now + time);
            }
            if entry.frozen_until.is_some_and(|until| now < until) {
                continue;
            }
            let is_cut = setting.trouble == Trouble::HalfCut && is_second_half && number % 2 == 0;
            let hears = setting.way == Way::Permits && is_dealer_up && !is_cut;
            let sharers = Sharers {
                entries: if setting.way == Way::FewEntries {
                    few
                } else {
                    setting.entries
                },
                phase: phases[number],
                has_dealer: hears,
                is_engine: setting.way == Way::Permits,
            };
            let due: Vec<_> = entry
                .answers
                .iter()
                .copied()
                .filter(|a| a.1 <= now)
                .collect();
            entry.answers.retain(|a| a.1 > now);
            if hears && step % SAYS_EVERY == 0 {
                entry.limit.on_told(dealer.named(now), sharers, now);
            }
            for (at, _, named) in due {
                entry.told.get_or_insert(now);
                entry
                    .limit
                    .on_word(LimitWord::Named(rate(named)), at, sharers, now);
            }
            entry.limit.share_among(sharers, now);
            if let Some((asked, at, answer)) = entry.dealt.take() {
                match (at <= now, answer) {
                    (false, answer) => entry.dealt = Some((asked, at, answer)),
                    (true, Some(answer)) => entry.limit.on_dealt(&answer, asked, sharers, now),
                    (true, None) => entry.limit.on_no_deal(false, now),
                }
            }
            entry.waiting.retain(|at| now - *at < PATIENCE);
            while entry.is_active && !entry.waiting.is_empty() && entry.limit.allows_one(now) {
                entry.waiting.remove(0);
                entry.limit.on_sent(now);
                entry.answers.push((now, now + ANSWER_AFTER, per_s));
                let is_told = entry.told.is_some_and(|told| told + TOLD <= now);
                sent.push((now, is_told));
            }
            entry.limit.set_wanted(entry.waiting.len() as u32, 1);
            if hears && entry.dealt.is_none() && entry.limit.is_question_due(now) {
                let (news, unused) = entry.limit.on_asked(now);
                let report = AdmissionReport {
                    entry: format!("entry-{number}"),
                    backend: backend.clone(),
                    named: news.named,
                    freed_ago_ms: news.freed_ago_ms,
                    wanted: entry.waiting.len() as u32,
                    priority: 1,
                    unused,
                };
                outcome.questions += 1;
                let answer = dealer.on_report(&backend, &report, now + WAY);
                entry.dealt = Some((now, now + WAY * 2, Some(answer)));
            }
        }
    }
    judge(setting, begun, &sent, came, &mut outcome);
    outcome
}

fn judge(
    setting: Setting,
    begun: Instant,
    sent: &[(Instant, bool)],
    came: usize,
    outcome: &mut Outcome,
) {
    let from = begun + CONTACT;
    let told: Vec<Instant> = sent.iter().filter(|s| s.1).map(|s| s.0).collect();
    let all: Vec<Instant> = sent.iter().map(|s| s.0).collect();
    let within = windows(&told, from);
    outcome.most_in_window = within.iter().copied().max().unwrap_or(0);
    outcome.windows_over = within.iter().filter(|n| **n > outcome.allowed).count();
    outcome.most_of_all = windows(&all, from).into_iter().max().unwrap_or(0);
    outcome.sent = all.iter().filter(|at| **at >= from).count();
    let seconds = setting.seconds as f64 - CONTACT.as_secs_f64();
    let came = came as f64 * seconds / setting.seconds as f64;
    let possible = (setting.per_s * seconds).min(came);
    outcome.unused = 1.0 - outcome.sent as f64 / possible.max(1.0);
}

/// requests of each window that ends with one, from a moment on
fn windows(sent: &[Instant], from: Instant) -> Vec<usize> {
    let mut first = 0;
    let within = sent.iter().enumerate().map(|(last, at)| {
        while *at - sent[first] >= WINDOW {
            first += 1;
        }
        (*at >= from).then_some(last - first + 1)
    });
    within.flatten().collect()
}
