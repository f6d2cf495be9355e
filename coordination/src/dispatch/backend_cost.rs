//! What a send to a back end costs in waiting time and risk.

use {
    super::{dispatcher::Dispatcher, BackendState},
    chalkcart_state::ids::ServiceName,
    std::time::Instant,
};

/// Cost of a back end in another zone, in ms.
const REMOTE_ZONE_COST_MS: f64 = 2.0;
/// Cost of a back end that fails every request, in ms.
const FAILURE_COST_MS: f64 = 800.0;
/// Costs of a back end with all slots taken, in ms: one grows with the load, the other with
/// its square, since a crowded batch delays every token.
const LOAD_COST_MS: f64 = 30.0;
const CROWDING_COST_MS: f64 = 150.0;
/// Cost of each request that runs on the back end, in ms.
const ACTIVE_REQUEST_COST_MS: f64 = 0.4;
/// Cost of a back end that advertises a rate limit, in ms: its capacity is kept for
/// requests that only it can serve.
const RATE_LIMIT_COST_MS: f64 = 150.0;

/// Prompt size assumed until one was observed, in tokens.
const DEFAULT_PROMPT_TOKENS: f64 = 1_000.0;

impl Dispatcher {
    /// Returns the time until the prompts queued at a back end are prefilled, in ms.
    pub(super) fn queue_ms(&self, state: &BackendState, now: Instant) -> f64 {
        let service = &state.listed.service;
        let typical = match self.settings.features.prompts_of_all {
            true => self.typical_prompt_tokens(service),
            false => 0.0,
        };
        state.queued_tokens(typical, now) / self.tokens_per_ms_of(state)
    }

    /// Returns the prefill rate of the service's engines, in tokens per ms.
    pub(super) fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        let observed = self
            .prefill_rates
            .get(service)
            .and_then(|r| r.tokens_per_ms());
        let observed = observed.filter(|_| self.settings.features.observed_rate);
        observed.unwrap_or(self.settings.default_tokens_per_ms)
    }

    pub(super) fn typical_prompt_tokens(&self, service: &ServiceName) -> f64 {
        let observed = self
            .prefill_rates
            .get(service)
            .and_then(|r| r.typical_prompt_tokens());
        observed.unwrap_or(DEFAULT_PROMPT_TOKENS)
    }

    /// Returns how busy an engine is, by its prefill queue and its slots; from 1 on, an
    /// adapter that no other engine holds is worth another copy.
    pub(super) fn utilization(&self, state: &BackendState, now: Instant) -> f64 {
        let queue = self.queue_ms(state, now) / self.settings.copy_queue_threshold_ms;
        queue.max(state.load(now) / self.settings.copy_load_threshold)
    }

    /// Returns the cost of sending a request to a back end, in ms: its expected wait plus
    /// penalties for load, distance, rate limits and failures. The lowest cost is chosen.
    pub(super) fn cost(&self, state: &BackendState, now: Instant) -> f64 {
        let is_remote_zone = state.listed.zone != self.settings.zone;
        let remote_zone = if is_remote_zone {
            REMOTE_ZONE_COST_MS
        } else {
            0.0
        };
        let limited = match state.limit.effective_rate() {
            Some(_) => RATE_LIMIT_COST_MS,
            None => 0.0,
        };
        // requests without tokens add no prefill, but take slots
        let load = state.load(now);
        let load_cost = load * LOAD_COST_MS + load * load * CROWDING_COST_MS;
        self.queue_ms(state, now)
            + f64::from(state.occupied(now)) * ACTIVE_REQUEST_COST_MS
            + load_cost * state.relative_rate.slowness()
            + remote_zone
            + limited
            + state.health.failure_rate(now) * FAILURE_COST_MS
    }
}
