//! Requests that are rejected with the time at which their adapter will be loaded.

use {
    super::{dispatcher::Dispatcher, expected_return::ExpectedReturn, DispatchRequest},
    crate::placement::adapter_hash,
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

/// Added to the load time in the retry time of rejected requests.
const RETURN_MARGIN: Duration = Duration::from_millis(60);
/// How long an adapter stays wanted after the retry time of its rejected requests.
const RETURN_GRACE: Duration = Duration::from_millis(400);

impl Dispatcher {
    /// Returns the retry time of a request whose adapter can't be loaded within its latency
    /// objective; the request is then rejected, and its adapter stays wanted.
    ///
    /// A request is checked once, as soon as the sidecar that is to load the adapter
    /// reports after the load was requested. After that, waiting is better.
    pub(super) fn schedule_return(
        &mut self,
        request: &mut DispatchRequest,
        now: Instant,
    ) -> Option<Duration> {
        if !self.settings.features.early_refusals
            || request.is_load_time_checked
            || request.send_count > 0
        {
            return None;
        }
        let adapter = request.adapter.as_ref()?;
        let pending = self.pending_loads.get(adapter)?;
        let may_serve = |id: &&BackendId| {
            let state = self.backends.get(*id);
            state.is_some_and(|state| self.is_allowed(request, state))
        };
        let backend = pending.backends.iter().find(may_serve)?.clone();
        let requested_at = pending.requested_at;
        let state = self.backends.get(&backend)?;
        if !state.has_reported_since(requested_at) {
            return None;
        }
        request.is_load_time_checked = true;
        if request.was_rejected_before {
            return None;
        }
        let view = state.view.as_ref()?;
        let waited = now.saturating_duration_since(request.arrived_at);
        let is_reload = state.has_recently_held(adapter_hash(adapter));
        let load_ms = match is_reload && self.settings.features.return_home {
            true => view.figures.next_return_ms,
            false => view.figures.next_load_ms,
        };
        let load = match view.loading.contains(adapter) {
            true => Duration::from_millis(u64::from(load_ms)) / 2,
            false => Duration::from_millis(u64::from(load_ms)),
        };
        if waited + load + self.settings.first_token_delay <= request.target_latency {
            return None;
        }
        let retry_after = load + RETURN_MARGIN;
        let until = now + retry_after + RETURN_GRACE;
        let expected = self
            .expected_returns
            .entry(adapter.clone())
            .or_insert(ExpectedReturn {
                backend,
                priority: request.priority,
                requests: 0,
                until,
            });
        expected.requests += 1;
        expected.until = expected.until.max(until);
        expected.priority = expected.priority.min(request.priority);
        Some(retry_after)
    }
}
