use {
    super::{request_exchange::elapsed_ms, request_exchange_log::software_of, shared::Shared},
    chalkcart_coordination::{
        dispatch::Assignment, response_end::ResponseEnd, stream_recovery::EventId,
    },
    chalkcart_state::{backends::BackendId, ids::RequestId},
    chalkcart_transport::{clock, ingress::StreamCut},
    std::{sync::Arc, time::Instant},
};

/// Outcome in metrics of a stream that was resumed.
const RESUMED: &str = "resumed";
/// Causes for which the search of an engine ends from outside.
const CLIENT_LEFT: &str = "client_left";
const DEADLINE: &str = "deadline";

/// Logs and counts the outcome of one cut; a cut that is dropped without an outcome ended with
/// its client or its deadline.
pub struct CutLog {
    pub shared: Arc<Shared>,
    pub request: RequestId,
    pub route: String,
    pub deadline: Instant,
    /// The back end whose stream was cut, and the version of its software.
    pub from: BackendId,
    from_software: String,
    cut_at: Instant,
    cut_cause: &'static str,
    /// How the response of the back end that was cut ended.
    cut_response: ResponseEnd,
    last_event: Option<EventId>,
    /// Sends since the cut.
    pub sends: u32,
    /// Whether the back end that was cut is known to have ended.
    pub has_engine_ended: bool,
    has_outcome: bool,
}

impl CutLog {
    pub fn new(
        shared: Arc<Shared>,
        (request, route): (&str, &str),
        from: &Assignment,
        deadline: Instant,
        cut: &StreamCut,
    ) -> Self {
        Self {
            shared,
            request: request.to_string(),
            route: route.to_string(),
            deadline,
            from: from.backend.clone(),
            from_software: software_of(from).to_string(),
            cut_at: clock::now(),
            cut_cause: cut.fault.map_or("broken", |fault| fault.code()),
            cut_response: cut.response,
            last_event: cut.last_event.unwrap_or_default(),
            sends: 0,
            has_engine_ended: false,
            has_outcome: false,
        }
    }

    pub fn on_resumed(&mut self, to: &Assignment) {
        self.has_outcome = true;
        self.shared.metrics.on_resumption(RESUMED);
        log::info!(
            request = self.request.as_str(),
            route = self.route.as_str(),
            backend = to.backend.as_str(),
            born = to.backend.start_time_ms,
            software = software_of(to),
            from = self.from.as_str(),
            from_software = self.from_software.as_str(),
            cut = self.cut_cause,
            framing = self.cut_response.framing.code(),
            ended_by = self.cut_response.cause.code(),
            body_bytes = self.cut_response.body_bytes,
            last_event = self.last_event_or_none(),
            engine_ended = self.has_engine_ended,
            sends = self.sends,
            outcome = RESUMED,
            waited_ms = elapsed_ms(self.cut_at);
            "ingress: stream resumed"
        );
    }

    pub fn on_not_resumed(&mut self, cause: &'static str) {
        self.has_outcome = true;
        self.shared.metrics.on_resumption(cause);
        log::warn!(
            request = self.request.as_str(),
            route = self.route.as_str(),
            from = self.from.as_str(),
            from_software = self.from_software.as_str(),
            cut = self.cut_cause,
            framing = self.cut_response.framing.code(),
            ended_by = self.cut_response.cause.code(),
            body_bytes = self.cut_response.body_bytes,
            last_event = self.last_event_or_none(),
            engine_ended = self.has_engine_ended,
            sends = self.sends,
            cause = cause,
            waited_ms = elapsed_ms(self.cut_at);
            "ingress: stream not resumed"
        );
    }

    /// Returns the last event that the client has, -1 for none.
    fn last_event_or_none(&self) -> i64 {
        self.last_event.map_or(-1, |event| event as i64)
    }
}

impl Drop for CutLog {
    fn drop(&mut self) {
        if self.has_outcome {
            return;
        }
        let cause = match clock::now() >= self.deadline {
            true => DEADLINE,
            false => CLIENT_LEFT,
        };
        self.on_not_resumed(cause);
    }
}
