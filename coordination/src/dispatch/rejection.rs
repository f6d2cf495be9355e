//! Requests that can't be sent now: whether they wait or are rejected, and when their
//! clients should retry.

use {
    super::{
        decision::MIN_RETRY_AFTER, dispatcher::Dispatcher, Decision, DecisionInputs,
        DispatchRequest, RejectionCause, Ticket,
    },
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Longest time over which retries are spread.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(5);

impl Dispatcher {
    /// Keeps a request waiting, or rejects it if it can't be served within its maximum wait.
    pub(super) fn wait_or_reject(
        &mut self,
        ticket: Ticket,
        mut request: DispatchRequest,
        cause: RejectionCause,
        now: Instant,
    ) {
        if matches!(
            cause,
            RejectionCause::NoLoadingSidecar
                | RejectionCause::OutsideRegions
                | RejectionCause::OtherSoftware
        ) {
            let inputs = self.decision_inputs(&request, now);
            self.on_not_sent(&request);
            let retry_after = request.target_latency.max(MIN_RETRY_AFTER);
            self.reject(ticket, cause, retry_after, inputs);
            return;
        }
        if cause == RejectionCause::MissesDeadline {
            let missed = self.missed_deadline(&request, now);
            let retry_after = missed.map_or(MIN_RETRY_AFTER, |(fits_in, _)| fits_in);
            let inputs = DecisionInputs {
                pacing: missed.map(|(_, pacing)| pacing),
                ..self.decision_inputs(&request, now)
            };
            self.on_not_sent(&request);
            self.reject(ticket, cause, retry_after.max(MIN_RETRY_AFTER), inputs);
            return;
        }
        if cause == RejectionCause::NotLoaded {
            if let Some(retry_after) = self.schedule_return(&mut request, now) {
                let inputs = self.decision_inputs(&request, now);
                self.on_not_sent(&request);
                self.reject(ticket, RejectionCause::LoadTooSlow, retry_after, inputs);
                return;
            }
        }
        let max_wait_ratio = match cause {
            RejectionCause::NotLoaded | RejectionCause::Reloading => {
                self.settings.max_adapter_wait_ratio
            }
            RejectionCause::NoLoadingSidecar
            | RejectionCause::OutsideRegions
            | RejectionCause::OtherSoftware
            | RejectionCause::BackedOff
            | RejectionCause::RateLimited
            | RejectionCause::Full
            | RejectionCause::NoBackend
            | RejectionCause::RetryBudgetExhausted
            | RejectionCause::LoadTooSlow
            | RejectionCause::MissesDeadline
            | RejectionCause::Stopping => self.settings.max_slot_wait_ratio,
        };
        let max_wait = match request.is_repeat && cause == RejectionCause::NoBackend {
            // all that are listed were tried
            true => Duration::ZERO,
            false => request.target_latency.mul_f64(max_wait_ratio),
        };
        let waited = now.saturating_duration_since(request.arrived_at);
        let backoff = match cause {
            RejectionCause::BackedOff => self.shortest_backoff(&request, now).unwrap_or_default(),
            _ => Duration::ZERO,
        };
        // a request that can't be served within its maximum wait is rejected at once
        if waited + backoff >= max_wait || now + backoff >= request.deadline {
            let base = backoff.max(request.target_latency / 2);
            let retry_after = self.spread_retry(ticket, &request, cause, base, now);
            let inputs = self.decision_inputs(&request, now);
            self.on_not_sent(&request);
            self.reject(ticket, cause, retry_after.max(MIN_RETRY_AFTER), inputs);
        } else {
            self.waiting.insert(ticket, request);
        }
    }

    /// Spreads the retry times of requests rejected for want of room over the time in which
    /// room is expected: from `base` to the time until the shortest prefill queue is done,
    /// at least as long again. Clients that return at the same moment would find the slots
    /// taken by each other.
    fn spread_retry(
        &self,
        ticket: Ticket,
        request: &DispatchRequest,
        cause: RejectionCause,
        base: Duration,
        now: Instant,
    ) -> Duration {
        let is_for_room = matches!(cause, RejectionCause::Full | RejectionCause::NotLoaded);
        let do_callers_compete = self.admission_order.rank(request).is_some();
        if !self.settings.features.spread_retries || !is_for_room || !do_callers_compete {
            return base;
        }
        let of_service = self.backends.values();
        let of_service =
            of_service.filter(|b| b.listed.service == request.service && b.is_available(now));
        let queues = of_service.map(|b| self.queue_ms(b, now));
        let shortest_ms = queues.min_by(f64::total_cmp).unwrap_or(0.0);
        let shortest = Duration::from_secs_f64(shortest_ms.max(0.0) / 1_000.0);
        let span = shortest.saturating_sub(base).max(base);
        let position = rendezvous_weight(stable_hash(&self.settings.entry), ticket);
        base + span
            .min(MAX_RETRY_SPREAD)
            .mul_f64(position as f64 / u64::MAX as f64)
    }

    /// Handles a request whose possible back ends have all reached their rate limits: it
    /// waits if it can be sent in time. `ahead` counts the requests queued before it at
    /// each back end.
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
        let max_wait = request
            .target_latency
            .mul_f64(self.settings.max_slot_wait_ratio);
        let waited = now.saturating_duration_since(request.arrived_at);
        if waited + opens_in < max_wait && now + opens_in < request.deadline {
            let waiting = ahead.entry(backend).or_insert((0, request.priority));
            waiting.0 += 1;
            waiting.1 = waiting.1.min(request.priority);
            self.waiting.insert(ticket, request);
            return;
        }
        let state = self.backends.get_mut(&backend);
        let retry_after = state.map_or(opens_in, |b| b.limit.next_retry_after(now));
        let inputs = self.decision_inputs(&request, now);
        self.on_not_sent(&request);
        let retry_after = retry_after.max(MIN_RETRY_AFTER);
        self.reject(ticket, RejectionCause::RateLimited, retry_after, inputs);
    }

    /// Handles a request that waited and isn't sent.
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
