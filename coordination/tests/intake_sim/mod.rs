//! Simulation of entries that share one rate-limited back end. It runs the decisions of the
//! entries and of the permit issuer in simulated time, without sockets.

// each user needs only some of the items
#![allow(dead_code)]

use {
    chalkcart_coordination::{
        backend_admission::{AdvertisedLimit, EngineLimit, LimitSharing},
        backend_signals::{LimitSignal, RequestRate},
    },
    chalkcart_protocol::peer::{AdmissionReport, AdmissionResponse},
    chalkcart_state::backends::BackendId,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(5);
/// interval over which requests are counted against a limit
pub const WINDOW: Duration = Duration::from_secs(4);
/// time after its first advertisement from which a limit is checked
const CHECKED_AFTER: Duration = Duration::from_secs(3);
/// time from sending a request to receiving the head of its response
const RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// one-way network delay between an entry and a sidecar
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// time after the first response with the limit from which the rule applies to an entry
const INFORMED_AFTER: Duration = Duration::from_millis(500);
/// steps between two reports of the engine's limit by its sidecar
const REPORT_EVERY_STEPS: u64 = 20;
/// maximum time that a request waits for the back end
const MAX_WAIT: Duration = Duration::from_millis(800);

/// Method by which the entries share the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SharingMethod {
    /// an equal share for each entry
    EqualShares,
    /// permits of the sidecar, and small equal shares for entries that can't reach it
    Permits,
    /// only a few entries, chosen by hash, send to the back end
    FewEntries,
}

/// Fault during the simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// the permit issuer restarts repeatedly
    IssuerRestarts,
    /// half of the entries can't reach the permit issuer in the second half
    HalfDisconnected,
    /// entries are suspended for a while and may hold permits
    Freezes,
    /// the limit changes each second
    LimitChanges,
}

#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub method: SharingMethod,
    pub fault: Fault,
    pub entries: u32,
    pub per_s: f64,
    /// requests per second for this back end, over all entries
    pub demand_per_s: f64,
    /// fraction of the requests that arrives at the first entry
    pub skew: f64,
    pub seconds: u64,
    pub seed: u64,
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// number of windows with more requests than allowed
    pub windows_over: usize,
    pub max_in_window: usize,
    /// the same, including requests of entries that had no response with the limit yet
    pub max_in_window_of_all: usize,
    pub allowed: usize,
    pub sent: usize,
    /// unused fraction of the requests that the limit and the demand allowed
    pub unused: f64,
    /// requests to the permit issuer
    pub permit_requests: usize,
}

struct Entry {
    limit: AdvertisedLimit,
    is_active: bool,
    waiting: Vec<Instant>,
    suspended_until: Option<Instant>,
    /// when the first response with a limit arrived
    informed_at: Option<Instant>,
    responses: Vec<(Instant, Instant, f64)>,
    permit_response: Option<(Instant, Instant, Option<AdmissionResponse>)>,
}

pub fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).unwrap_or_default()
}

/// Returns the number of entries that may each accumulate a request within the limit.
fn sender_count(per_s: f64, entries: u32) -> u32 {
    entries.min((2.0 * per_s + 3.0) as u32)
}

pub fn simulate(scenario: Scenario) -> Outcome {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let backend = BackendId::from("engine");
    let begun = Instant::now();
    let sender_count = sender_count(scenario.per_s, scenario.entries);
    let mut issuer = EngineLimit::default();
    let mut issuer_down_until = begun;
    let mut entries: Vec<Entry> = (0..scenario.entries)
        .map(|number| Entry {
            limit: AdvertisedLimit::default(),
            is_active: scenario.method != SharingMethod::FewEntries || number < sender_count,
            waiting: Vec::new(),
            suspended_until: None,
            informed_at: None,
            responses: Vec::new(),
            permit_response: None,
        })
        .collect();
    let phases: Vec<f64> = entries.iter().map(|_| rng.random()).collect();
    let mut outcome = Outcome {
        allowed: allowed(scenario.per_s),
        ..Outcome::default()
    };
    let (mut sent, mut arrived, mut per_s) = (Vec::new(), 0usize, scenario.per_s);
    let steps = scenario.seconds * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = begun + STEP * step as u32;
        let second = step * STEP.as_millis() as u64 / 1_000;
        let is_second_half = step * 2 > steps;
        if scenario.fault == Fault::LimitChanges {
            // never above the rate by which the windows are checked
            per_s = scenario.per_s * [1.0, 0.5, 0.75][second as usize % 3];
        }
        let issuer_restarts = scenario.fault == Fault::IssuerRestarts;
        if issuer_restarts && step % 1_000 == 0 {
            issuer = EngineLimit::default();
            issuer_down_until = now + Duration::from_millis(rng.random_range(0..1_500));
        }
        let is_issuer_up = now >= issuer_down_until;
        let expected = scenario.demand_per_s * STEP.as_secs_f64();
        let mut arrivals = expected as u32 + u32::from(rng.random::<f64>() < expected.fract());
        while arrivals > 0 {
            arrivals -= 1;
            arrived += 1;
            let number = match rng.random::<f64>() < scenario.skew {
                true => 0,
                false => rng.random_range(0..scenario.entries as usize),
            };
            entries[number].waiting.push(now);
        }
        for (number, entry) in entries.iter_mut().enumerate() {
            let is_suspended = scenario.fault == Fault::Freezes && rng.random_range(0..2_000) == 0;
            if is_suspended {
                let time = Duration::from_millis(rng.random_range(100..3_000));
                entry.suspended_until = Some(now + time);
            }
            if entry.suspended_until.is_some_and(|until| now < until) {
                continue;
            }
            let is_disconnected =
                scenario.fault == Fault::HalfDisconnected && is_second_half && number % 2 == 0;
            let can_reach_issuer =
                scenario.method == SharingMethod::Permits && is_issuer_up && !is_disconnected;
            let sharing = LimitSharing {
                entries: if scenario.method == SharingMethod::FewEntries {
                    sender_count
                } else {
                    scenario.entries
                },
                phase: phases[number],
                has_issuer: can_reach_issuer,
                is_engine: scenario.method == SharingMethod::Permits,
            };
            let due: Vec<_> = entry
                .responses
                .iter()
                .copied()
                .filter(|a| a.1 <= now)
                .collect();
            entry.responses.retain(|a| a.1 > now);
            if can_reach_issuer && step % REPORT_EVERY_STEPS == 0 {
                entry
                    .limit
                    .on_sidecar_report(issuer.effective_rate(now), sharing, now);
            }
            for (at, _, named) in due {
                entry.informed_at.get_or_insert(now);
                entry
                    .limit
                    .on_signal(LimitSignal::Advertised(rate(named)), at, sharing, now);
            }
            entry.limit.update_sharing(sharing, now);
            if let Some((requested_at, at, response)) = entry.permit_response.take() {
                match (at <= now, response) {
                    (false, response) => entry.permit_response = Some((requested_at, at, response)),
                    (true, Some(response)) => {
                        entry
                            .limit
                            .on_permit_response(&response, requested_at, sharing, now)
                    }
                    (true, None) => entry.limit.on_permit_request_failed(false, now),
                }
            }
            entry.waiting.retain(|at| now - *at < MAX_WAIT);
            while entry.is_active && !entry.waiting.is_empty() && entry.limit.admits_request(now) {
                entry.waiting.remove(0);
                entry.limit.on_request_sent(now);
                entry.responses.push((now, now + RESPONSE_DELAY, per_s));
                let is_informed = entry
                    .informed_at
                    .is_some_and(|at| at + INFORMED_AFTER <= now);
                sent.push((now, is_informed));
            }
            entry.limit.set_waiting(entry.waiting.len() as u32, 1);
            if can_reach_issuer
                && entry.permit_response.is_none()
                && entry.limit.is_permit_request_due(now)
            {
                let (update, unused) = entry.limit.on_permits_requested(now);
                let report = AdmissionReport {
                    entry: format!("entry-{number}"),
                    backend: backend.clone(),
                    named: update.limit,
                    freed_ago_ms: update.lifted_ago_ms,
                    wanted: entry.waiting.len() as u32,
                    priority: 1,
                    unused,
                };
                outcome.permit_requests += 1;
                let response = issuer.on_report(&backend, &report, now + NETWORK_DELAY);
                entry.permit_response = Some((now, now + NETWORK_DELAY * 2, Some(response)));
            }
        }
    }
    evaluate(scenario, begun, &sent, arrived, &mut outcome);
    outcome
}

fn evaluate(
    scenario: Scenario,
    begun: Instant,
    sent: &[(Instant, bool)],
    arrived: usize,
    outcome: &mut Outcome,
) {
    let from = begun + CHECKED_AFTER;
    let informed: Vec<Instant> = sent.iter().filter(|s| s.1).map(|s| s.0).collect();
    let all: Vec<Instant> = sent.iter().map(|s| s.0).collect();
    let within = windows(&informed, from);
    outcome.max_in_window = within.iter().copied().max().unwrap_or(0);
    outcome.windows_over = within.iter().filter(|n| **n > outcome.allowed).count();
    outcome.max_in_window_of_all = windows(&all, from).into_iter().max().unwrap_or(0);
    outcome.sent = all.iter().filter(|at| **at >= from).count();
    let seconds = scenario.seconds as f64 - CHECKED_AFTER.as_secs_f64();
    let arrived = arrived as f64 * seconds / scenario.seconds as f64;
    let possible = (scenario.per_s * seconds).min(arrived);
    outcome.unused = 1.0 - outcome.sent as f64 / possible.max(1.0);
}

/// Returns the number of requests in each window that ends with a request at or after `from`.
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
