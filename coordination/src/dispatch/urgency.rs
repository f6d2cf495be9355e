//! Order in which an engine prefills queued prompts.

use {super::DispatchRequest, std::time::Instant};

/// The least urgent level that engines accept.
pub const LOWEST_URGENCY: u8 = 9;
/// Prefill times above which a prompt is one level less urgent, in ms: shortest first
/// serves the most requests in time.
const PREFILL_STEPS_MS: [f64; 6] = [30.0, 80.0, 160.0, 300.0, 500.0, 800.0];
/// Base level of prompts that miss their objective in any case; they yield to the others.
const MISSED_OBJECTIVE_URGENCY: u8 = 7;
/// Time from the end of prefill to the first token at the client, in ms.
const FIRST_TOKEN_MS: f64 = 30.0;

/// Returns the urgency of a prompt, by its prefill time, the time left until its latency
/// objective and the priority of its route.
///
/// Shortest job first has the lowest mean wait of all non-preemptive orders; a prompt that
/// misses its objective in any case gains nothing from being early, so it goes last.
pub fn urgency(request: &DispatchRequest, tokens_per_ms: f64, now: Instant) -> u8 {
    let prefill_ms = f64::from(request.prompt_tokens) / tokens_per_ms;
    let waited = now.saturating_duration_since(request.arrived_at);
    let left = request.target_latency.saturating_sub(waited);
    let left_ms = left.as_secs_f64() * 1_000.0;
    if prefill_ms + FIRST_TOKEN_MS > left_ms {
        return MISSED_OBJECTIVE_URGENCY
            .saturating_add(request.priority)
            .min(LOWEST_URGENCY);
    }
    let steps = PREFILL_STEPS_MS.iter().filter(|step| prefill_ms > **step);
    (steps.count() as u8 + request.priority / 2).min(MISSED_OBJECTIVE_URGENCY)
}
