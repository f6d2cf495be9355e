//! What the start and the end of a response tell about its back end.

use {
    super::{dispatcher::Dispatcher, InFlightRequest, SendOutcome, Ticket},
    crate::retry_budget::{SharedRetryBudget, MAX_UNREAD_TIME},
    chalkcart_state::ids::ServiceName,
    std::time::Instant,
};

impl Dispatcher {
    pub(super) fn on_head_received(&mut self, ticket: Ticket, now: Instant) {
        if let Some((_, service, sent)) = self.in_flight.get_mut(&ticket) {
            sent.head_at = Some(now);
            settle_retry(sent, self.retry_budgets.get_mut(service), None, now);
        }
    }

    pub(super) fn on_response_started(&mut self, ticket: Ticket, now: Instant) {
        let Some((backend, service, sent)) = self.in_flight.get_mut(&ticket) else {
            return;
        };
        if sent.started_at.is_some() {
            return;
        }
        if let Some(state) = self.backends.get_mut(backend) {
            state.on_response_started(sent);
            if sent.is_probe {
                state.backoff.on_probe_started(now);
            }
        }
        if sent.is_sole_prefill {
            let prefill_time = now.saturating_duration_since(sent.sent_at);
            // the rate of the service is that of its median engine
            let relative_rate = self
                .backends
                .get(backend)
                .map_or(1.0, |b| b.relative_rate.value());
            let prefill_ms = prefill_time.as_secs_f64() * 1_000.0 * relative_rate;
            let rate = self.prefill_rates.entry(service.clone()).or_default();
            rate.on_sole_prefill(sent.prompt_tokens, prefill_ms);
        }
        sent.started_at = Some(now);
        settle_retry(sent, self.retry_budgets.get_mut(service), None, now);
        if let (Some(state), Some(adapter)) = (self.backends.get_mut(backend), &sent.adapter) {
            if state.observations.on_ran(adapter, now) {
                self.load_delay.on_adapter_present();
            }
        }
    }

    /// Returns the service whose back end has a free slot now.
    pub(super) fn on_request_ended(
        &mut self,
        ticket: Ticket,
        outcome: SendOutcome,
        now: Instant,
    ) -> Option<ServiceName> {
        let (backend, service, mut sent) = self.in_flight.remove(&ticket)?;
        let budget = self.retry_budgets.get_mut(&service);
        settle_retry(&mut sent, budget, unread_until(outcome, now), now);
        let Some(state) = self.backends.get_mut(&backend) else {
            return Some(service);
        };
        state.on_request_ended(&sent);
        if outcome.shows_life() {
            self.crashes.on_responded(&backend, sent.sent_at);
        }
        if sent.is_probe {
            state.backoff.on_probe_ended(outcome, now);
        }
        match outcome {
            SendOutcome::Answered | SendOutcome::Closed => {
                state.health.on_success(now);
                self.last_report_at = Some(now);
                match outcome == SendOutcome::Closed && !state.is_leaving() {
                    true => {
                        let run = sent.interrupted_run(true, now);
                        self.crashes.on_interrupted_run(&backend, run);
                    }
                    false => self.completed.push(sent.digest),
                }
            }
            SendOutcome::Shed => state.on_saturated(now),
            SendOutcome::Misdirected => match &sent.adapter {
                Some(adapter) => {
                    if self.settings.features.adapter_affinity {
                        state.on_eviction_seen(adapter);
                    }
                    if state.on_adapter_refused(adapter, now) {
                        self.load_delay.on_adapter_missing();
                    }
                }
                // the engine lacks the base model
                None => state.on_saturated(now),
            },
            SendOutcome::Superseded => {
                state.is_superseded = true;
                self.crashes.on_engine_ended(&backend, now);
            }
            SendOutcome::Unreachable => state.health.on_unreachable(now),
            SendOutcome::Failed => state.health.on_failure(now),
            SendOutcome::Broken | SendOutcome::Reset => {
                state.health.on_failure(now);
                // responses cut off by a leaving engine belong to its planned stop
                if !state.is_leaving() {
                    let run = sent.interrupted_run(false, now);
                    self.crashes.on_interrupted_run(&backend, run);
                }
            }
            SendOutcome::Abandoned => {}
        }
        let is_removable = state.is_unlisted && state.in_flight == 0;
        if is_removable && self.has_listed(&service) {
            if let Some(state) = self.backends.remove(&backend) {
                self.signals.save_limit(&backend, &state.limit, now);
            }
        }
        Some(service)
    }
}

/// Handles that a send is read until `until` at the latest, or has been if there is none.
fn settle_retry(
    sent: &mut InFlightRequest,
    budget: Option<&mut SharedRetryBudget>,
    until: Option<Instant>,
    now: Instant,
) {
    if let (Some(budget), true) = (budget, sent.is_unanswered_retry) {
        sent.is_unanswered_retry = false;
        let until = until.max(sent.earlier_unread_until);
        budget.on_retry_settled(until.unwrap_or(now), now);
    }
}

/// Returns until when a back end may still read a request whose send ended so without a response,
/// or `None` if it has read it or never will.
pub fn unread_until(outcome: SendOutcome, now: Instant) -> Option<Instant> {
    match outcome {
        SendOutcome::Reset | SendOutcome::Abandoned => Some(now + MAX_UNREAD_TIME),
        SendOutcome::Answered
        | SendOutcome::Closed
        | SendOutcome::Shed
        | SendOutcome::Misdirected
        | SendOutcome::Superseded
        | SendOutcome::Unreachable
        | SendOutcome::Failed
        | SendOutcome::Broken => None,
    }
}
