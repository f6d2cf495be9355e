//! the order in which an engine reads the prompts that wait there

use {super::DispatchRequest, std::time::Instant};

/// the least urgent that engines know
pub const LOWEST_URGENCY: u8 = 9;
/// prompts that take longer to read than each of these are one step less
/// urgent, in ms: the shortest first serves most in time
const PREFILL_STEPS_MS: [f64; 6] = [30.0, 80.0, 160.0, 300.0, 500.0, 800.0];
/// of what can't be in time any more; it yields to what can
const MISSED_OBJECTIVE_URGENCY: u8 = 7;
/// time from the end of reading to the first token at the client, in ms
const FIRST_TOKEN_MS: f64 = 30.0;

/// The urgency of a prompt, from its size, the time left to its objective and
/// its route's priority.
///
/// Shortest job first has the least mean wait of all orders that do not interrupt;
/// what has missed its objective earns the same a little later, so it goes behind.
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
