//! requests that are told to come back when their adapter is there

use {
    super::{dispatcher::Dispatcher, Ask},
    crate::placement::adapter_hash,
    chalkcart_state::backends::BackendId,
    std::time::{Duration, Instant},
};

/// added to the time of a load before its requests come back
const PROMISE_MARGIN: Duration = Duration::from_millis(60);
/// an adapter stays wanted for this long after its requests should be back
const PROMISE_KEPT: Duration = Duration::from_millis(400);

/// requests that come back for an adapter
#[derive(Debug, Clone)]
pub(super) struct Promise {
    pub(super) backend: BackendId,
    pub(super) priority: u8,
    pub(super) requests: u32,
    /// when the last of them should be back
    pub(super) until: Instant,
}

impl Dispatcher {
    /// When a request should come back whose adapter is too late for its objective;
    /// it is refused, and its adapter goes on being wanted. A request is judged once:
    /// as soon as the sidecar that is to load the adapter has spoken after it was asked.
    /// Later it is better off where it waits.
    pub(super) fn promise(&mut self, ask: &mut Ask, now: Instant) -> Option<Duration> {
        if !self.settings.mechanisms.early_refusals || ask.is_judged || ask.sends > 0 {
            return None;
        }
        let adapter = ask.adapter.as_ref()?;
        let wish = self.wishes.get(adapter)?;
        let may_serve = |id: &&BackendId| {
            let state = self.backends.get(*id);
            state.is_some_and(|state| self.may_serve(ask, state))
        };
        let backend = wish.backends.iter().find(may_serve)?.clone();
        let wished_at = wish.asked_at();
        let state = self.backends.get(&backend)?;
        if !state.has_spoken_since(wished_at) {
            return None;
        }
        ask.is_judged = true;
        if ask.has_returned {
            return None;
        }
        let view = state.view.as_ref()?;
        let waited = now.saturating_duration_since(ask.arrived);
        let returns = state.held_lately(adapter_hash(adapter));
        let load_ms = match returns && self.settings.mechanisms.return_home {
            true => view.figures.next_return_ms,
            false => view.figures.next_load_ms,
        };
        let load = match view.loading.contains(adapter) {
            true => Duration::from_millis(u64::from(load_ms)) / 2,
            false => Duration::from_millis(u64::from(load_ms)),
        };
        if waited + load + self.settings.first_token <= ask.target_latency {
            return None;
        }
        let retry_after = load + PROMISE_MARGIN;
        let until = now + retry_after + PROMISE_KEPT;
        let promise = self.promises.entry(adapter.clone()).or_insert(Promise {
            backend,
            priority: ask.priority,
            requests: 0,
            until,
        });
        promise.requests += 1;
        promise.until = promise.until.max(until);
        promise.priority = promise.priority.min(ask.priority);
        Some(retry_after)
    }
}
