//! Log lines and metrics of a request's sends and rejections.

use {
    super::{
        admission::Charge,
        request_exchange::{elapsed_ms, RequestExchange},
    },
    chalkcart_coordination::{
        dispatch::{Assignment, DecisionInputs, RejectionCause},
        retry_budget::BudgetUsage,
        stream_pacing::PacingOutcome,
    },
    chalkcart_state::ingress::part_list,
    chalkcart_transport::clock,
    http::StatusCode,
    std::time::Duration,
};

impl RequestExchange {
    pub(super) fn log_send(&self, assignment: &Assignment) {
        let inputs = &assignment.inputs;
        let route = &self.accepted.route.name;
        let waited = clock::elapsed(self.accepted.arrived);
        self.shared
            .metrics
            .on_sent(route, waited, self.request.send_count > 1);
        self.count_pacing(inputs);
        log::info!(
            request = self.accepted.head.id.as_str(),
            digest = self.accepted.digest.to_string().as_str(),
            parts = part_list(&self.accepted.head.shared_parts).as_str(),
            route = self.accepted.route.name.as_str(),
            account = self.account_name(),
            units = self.accepted.charge.as_ref().map_or(0, Charge::units),
            service = self.request.service.as_str(),
            adapter = self.adapter_text().as_str(),
            version = assignment.version.unwrap_or(0),
            backend = assignment.backend.as_str(),
            born = assignment.backend.start_time_ms,
            software = software_of(assignment),
            send = self.request.send_count,
            waited_ms = elapsed_ms(self.accepted.arrived),
            candidates = inputs.candidates,
            holders = inputs.holders,
            left_out_leaving = inputs.leaving,
            left_out_resting = inputs.backed_off,
            limited = inputs.limited,
            queue_ms = inputs.queue_ms,
            rate = inputs.relative_rate,
            occupied = inputs.occupied,
            urgency = assignment.urgency,
            rank = inputs.route_rank.map_or(-1, i16::from),
            typical_prompt = inputs.typical_prompt_tokens,
            beyond_share = self.request.is_beyond_share,
            view_age_ms = inputs.view_age.map_or(-1, |age| age.as_millis() as i64),
            list_version = inputs.list.revision,
            list_era = inputs.list.era,
            budget_requests = inputs.budget.requests,
            budget_repeats = inputs.budget.retries,
            budget_reserved = inputs.budget.reserved,
            budget_unanswered = inputs.budget.unanswered,
            budget_may_be_read = inputs.budget.may_be_read,
            budget_entries = inputs.budget.entries,
            budget_known_entries = inputs.budget.known.entries,
            budget_known_ago_s = inputs.budget.known.age_s,
            budget_counted_by = counted_by_text(&inputs.budget).as_str(),
            budget_counted_ago_ms = counted_ago_ms(&inputs.budget),
            pacing = pacing_text(inputs).as_str();
            "dispatch: sent"
        );
    }

    pub(super) fn log_rejection(
        &self,
        cause: &'static str,
        retry_after: Duration,
        inputs: &DecisionInputs,
    ) {
        self.shared.metrics.on_refused(cause);
        self.count_pacing(inputs);
        if cause == RejectionCause::OutsideRegions.code() {
            self.shared.metrics.on_outside_regions(self.account_name());
        }
        log::warn!(
            request = self.accepted.head.id.as_str(),
            route = self.accepted.route.name.as_str(),
            account = self.account_name(),
            service = self.request.service.as_str(),
            adapter = self.adapter_text().as_str(),
            regions = self.request.allowed_regions.to_string().as_str(),
            cause = cause,
            retry_after_ms = retry_after.as_millis() as u64,
            sends = self.request.send_count,
            runs = self.runs,
            waited_ms = elapsed_ms(self.accepted.arrived),
            candidates = inputs.candidates,
            holders = inputs.holders,
            left_out_leaving = inputs.leaving,
            left_out_resting = inputs.backed_off,
            limited = inputs.limited,
            waiting = inputs.waiting,
            list_version = inputs.list.revision,
            list_era = inputs.list.era,
            budget_requests = inputs.budget.requests,
            budget_repeats = inputs.budget.retries,
            budget_reserved = inputs.budget.reserved,
            budget_unanswered = inputs.budget.unanswered,
            budget_may_be_read = inputs.budget.may_be_read,
            budget_entries = inputs.budget.entries,
            budget_known_entries = inputs.budget.known.entries,
            budget_known_ago_s = inputs.budget.known.age_s,
            budget_counted_by = counted_by_text(&inputs.budget).as_str(),
            budget_counted_ago_ms = counted_ago_ms(&inputs.budget),
            pacing = pacing_text(inputs).as_str();
            "dispatch: refused"
        );
    }

    fn count_pacing(&self, inputs: &DecisionInputs) {
        let Some(pacing) = inputs.pacing else {
            return;
        };
        let metrics = &self.shared.metrics;
        metrics.on_stream_paced(pacing.outcome.code());
        if !pacing.turn_waited.is_zero() {
            metrics.on_stream_paced(PacingOutcome::Waits.code());
        }
    }

    pub(super) fn log_send_end(
        &self,
        assignment: &Assignment,
        outcome: &'static str,
        status: Option<StatusCode>,
    ) {
        self.shared.metrics.on_send_ended(outcome);
        log::warn!(
            request = self.accepted.head.id.as_str(),
            digest = self.accepted.digest.to_string().as_str(),
            backend = assignment.backend.as_str(),
            born = assignment.backend.start_time_ms,
            send = self.request.send_count,
            outcome = outcome,
            status = status.map_or(0, |s| s.as_u16()),
            total_ms = elapsed_ms(self.accepted.arrived);
            "send: ended"
        );
    }

    /// Returns the name of the caller's account, empty on a route that needs no key.
    pub(super) fn account_name(&self) -> &str {
        let caller = self.accepted.caller.as_ref();
        caller.map_or("", |caller| &caller.account.name)
    }

    fn adapter_text(&self) -> String {
        let adapter = self.accepted.head.adapter.as_ref();
        adapter.map(ToString::to_string).unwrap_or_default()
    }
}

/// Returns which engine's sidecar counted the most entries of late, empty before the first report.
pub(super) fn counted_by_text(usage: &BudgetUsage) -> String {
    usage
        .counted_by
        .map(|addr| addr.to_string())
        .unwrap_or_default()
}

/// Returns how long ago that was in ms, or -1.
pub(super) fn counted_ago_ms(usage: &BudgetUsage) -> i64 {
    usage.counted_ago.map_or(-1, |ago| ago.as_millis() as i64)
}

/// Returns the software version of a back end, empty if it is not known.
pub(super) fn software_of(assignment: &Assignment) -> &str {
    assignment.software_version.as_deref().unwrap_or_default()
}

/// Returns the inputs of a decision on a stream with a gap objective, empty for other requests.
fn pacing_text(inputs: &DecisionInputs) -> String {
    inputs
        .pacing
        .map_or(String::new(), |pacing| pacing.to_string())
}
