//! Order in which an engine prefills queued prompts.

use {
    super::{DispatchRequest, RouteRank},
    std::time::Instant,
};

/// The least urgent level that engines accept.
pub const LOWEST_URGENCY: u8 = 9;
/// Prefill times above which a prompt is one level less urgent, in ms: shortest first
/// serves the most requests in time.
const PREFILL_STEPS_MS: [f64; 6] = [30.0, 80.0, 160.0, 300.0, 500.0, 800.0];
/// Base level of prompts that miss their objective in any case; they yield to the others.
const MISSED_OBJECTIVE_URGENCY: u8 = 7;
/// Sizes relative to a route's typical prompt above which a prompt is one level less urgent.
const RELATIVE_SIZE_STEPS: [f64; 7] = [0.5, 0.7, 0.85, 1.0, 1.2, 1.5, 2.0];
/// Level of prompts whose account is beyond its share, on services with several priorities.
const BEYOND_SHARE_URGENCY: u8 = 8;
/// Time from the end of prefill to the first token at the client, in ms.
const FIRST_TOKEN_MS: f64 = 30.0;

/// Returns the urgency of a prompt, by its prefill time, the time left until its latency
/// objective and the priority of its route.
///
/// Shortest job first has the lowest mean wait of all non-preemptive orders; a prompt that
/// misses its objective in any case gains nothing from being early, so it goes last.
pub fn urgency(request: &DispatchRequest, tokens_per_ms: f64, now: Instant) -> u8 {
    let prefill_ms = f64::from(request.prompt_tokens) / tokens_per_ms;
    if misses_objective(request, prefill_ms, now) {
        return MISSED_OBJECTIVE_URGENCY
            .saturating_add(request.priority)
            .min(LOWEST_URGENCY);
    }
    let steps = PREFILL_STEPS_MS.iter().filter(|step| prefill_ms > **step);
    (steps.count() as u8 + request.priority / 2).min(MISSED_OBJECTIVE_URGENCY)
}

/// Returns the urgency of a prompt on a service whose routes have different priorities.
///
/// The level is the size of the prompt relative to the typical one of its route, plus the rank
/// of the route: short prompts first serve the most requests in time, and a route whose
/// prompts are short in general gains nothing from that over a more urgent one. Ranges of
/// levels for each priority served fewer requests in time (docs/design/admission-order.md).
/// A prompt of an account beyond its share goes after all that are in time, and what misses
/// its objective in any case goes last.
pub fn urgency_by_route(
    request: &DispatchRequest,
    route: RouteRank,
    typical_prompt_tokens: f64,
    tokens_per_ms: f64,
    now: Instant,
) -> u8 {
    let prefill_ms = f64::from(request.prompt_tokens) / tokens_per_ms;
    if misses_objective(request, prefill_ms, now) {
        return LOWEST_URGENCY;
    }
    if request.is_beyond_share {
        return BEYOND_SHARE_URGENCY;
    }
    let relative_size = f64::from(request.prompt_tokens) / typical_prompt_tokens.max(1.0);
    let steps = RELATIVE_SIZE_STEPS.iter();
    let steps = steps.filter(|step| relative_size > **step).count() as u8;
    steps
        .saturating_add(route.rank)
        .min(BEYOND_SHARE_URGENCY - 1)
}

fn misses_objective(request: &DispatchRequest, prefill_ms: f64, now: Instant) -> bool {
    let waited = now.saturating_duration_since(request.arrived_at);
    let left = request.target_latency.saturating_sub(waited);
    prefill_ms + FIRST_TOKEN_MS > left.as_secs_f64() * 1_000.0
}
