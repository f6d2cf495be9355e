//! requests that are not sent now: whether they wait, or are refused and when they should come back

use {
    super::{
        dispatcher::Dispatcher, Decision, DecisionInputs, DispatchRequest, RejectionCause, Ticket,
    },
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// what a request that was refused waits at least
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Dispatcher {
    pub(super) fn wait_or_reject(
        &mut self,
        ticket: Ticket,
        mut request: DispatchRequest,
        cause: RejectionCause,
        now: Instant,
    ) {
        if matches!(
            cause,
            RejectionCause::NoLoadingSidecar | RejectionCause::OutsideRegions
        ) {
            let inputs = self.decision_inputs(&request, now);
            self.on_not_sent(&request);
            let retry_after = request.target_latency.max(MIN_RETRY_AFTER);
            self.reject(ticket, cause, retry_after, inputs);
            return;
        }
        if cause == RejectionCause::NotLoaded {
            if let Some(retry_after) = self.schedule_return(&mut request, now) {
                let inputs = self.decision_inputs(&request, now);
                self.reject(ticket, RejectionCause::LoadTooSlow, retry_after, inputs);
                return;
            }
        }
        let part = match cause {
            RejectionCause::NotLoaded | RejectionCause::Reloading => {
                self.settings.max_adapter_wait_ratio
            }
            RejectionCause::NoLoadingSidecar
            | RejectionCause::OutsideRegions
            | RejectionCause::BackedOff
            | RejectionCause::RateLimited
            | RejectionCause::Full
            | RejectionCause::NoBackend
            | RejectionCause::RetryBudgetExhausted
            | RejectionCause::LoadTooSlow => self.settings.max_slot_wait_ratio,
        };
        let longest = request.target_latency.mul_f64(part);
        let waited = now.saturating_duration_since(request.arrived_at);
        let rest = match cause {
            RejectionCause::BackedOff => self.shortest_backoff(&request, now).unwrap_or_default(),
            _ => Duration::ZERO,
        };
        // what is not served within its wait is refused at once
        if waited + rest >= longest || now + rest >= request.deadline {
            let retry_after = rest.max(request.target_latency / 2);
            let inputs = self.decision_inputs(&request, now);
            self.on_not_sent(&request);
            self.reject(ticket, cause, retry_after.max(MIN_RETRY_AFTER), inputs);
        } else {
            self.waiting.put(ticket, request);
        }
    }

    /// All that could serve a request take no more requests now: it waits if its turn comes in
    /// time. So many others go `ahead` of it at each of them.
    pub(super) fn wait_for_rate_limit(
        &mut self,
        ticket: Ticket,
        request: DispatchRequest,
        ahead: &mut HashMap<BackendId, (u32, u8)>,
        now: Instant,
    ) {
        let Some((backend, opens_in)) = self.first_to_open(&request, ahead, now) else {
            self.wait_or_reject(ticket, request, RejectionCause::Full, now);
            return;
        };
        let longest = request
            .target_latency
            .mul_f64(self.settings.max_slot_wait_ratio);
        let waited = now.saturating_duration_since(request.arrived_at);
        if waited + opens_in < longest && now + opens_in < request.deadline {
            let waiting = ahead.entry(backend).or_insert((0, request.priority));
            waiting.0 += 1;
            waiting.1 = waiting.1.min(request.priority);
            self.waiting.put(ticket, request);
            return;
        }
        let returns_in = self.backends.get_mut(&backend);
        let returns_in = returns_in.map_or(opens_in, |b| b.limit.return_in(now));
        let inputs = self.decision_inputs(&request, now);
        self.on_not_sent(&request);
        let retry_after = returns_in.max(MIN_RETRY_AFTER);
        self.reject(ticket, RejectionCause::RateLimited, retry_after, inputs);
    }

    /// a request has waited and is not sent
    pub(super) fn on_not_sent(&mut self, request: &DispatchRequest) {
        self.fair_queueing
            .on_withdrawn(request.account, request.prompt_tokens);
        if request.send_count > 0 {
            if let Some(budget) = self.retry_budgets.get_mut(&request.service) {
                budget.release();
            }
        }
    }

    pub(super) fn reject(
        &mut self,
        ticket: Ticket,
        cause: RejectionCause,
        retry_after: Duration,
        inputs: DecisionInputs,
    ) {
        let decision = Decision::Reject {
            cause,
            retry_after,
            inputs,
        };
        self.decisions.push((ticket, decision));
    }
}
