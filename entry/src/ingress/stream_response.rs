//! The response to a client whose body is the stream of a back end.

use {
    super::{
        observers::{SendGuard, StreamObserver},
        request_exchange::RequestExchange,
        stream_recovery::StreamRecovery,
    },
    chalkcart_coordination::{dispatch::Assignment, stream_recovery::EventAssembler},
    chalkcart_state::{backends::BackendId, ingress::RouteKind},
    chalkcart_transport::{
        backend::BackendResponse,
        ingress::{remove_connection_headers, ClientResponse, ProxyBody, StreamEvents},
    },
    http::{
        header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
        HeaderMap, Response,
    },
    http_body_util::Either,
    std::time::Duration,
};

const EVENT_STREAM: &str = "text/event-stream";

/// A stream whose head a back end has sent.
pub struct StartedStream {
    pub response: BackendResponse,
    pub guard: SendGuard,
}

impl StartedStream {
    pub fn headers(&self) -> &HeaderMap {
        self.response.response.headers()
    }
}

impl RequestExchange {
    /// Returns the response that forwards a stream to the client.
    pub(super) fn stream_to_client(
        self,
        assignment: Assignment,
        stream: StartedStream,
    ) -> ClientResponse {
        let (backend, deadline) = (assignment.backend.clone(), self.deadline);
        let events = self.recoverable_events(stream.headers());
        let mut observer = self.stream_observer(&backend, stream.guard, None);
        let end_to_end = self.shared.dialect.end_to_end_headers();
        let (mut parts, body) = stream.response.response.into_parts();
        remove_connection_headers(&mut parts.headers, end_to_end);
        if events.is_some() {
            let recovery = StreamRecovery::new(self, assignment);
            observer.recovery = Some(Box::new(recovery));
        }
        let connection = stream.response.connection;
        let body = ProxyBody::new(body, connection, deadline, Box::new(observer), events);
        Response::from_parts(parts, Either::Right(body))
    }

    pub(super) fn stream_observer(
        &self,
        backend: &BackendId,
        guard: SendGuard,
        first_part: Option<Duration>,
    ) -> StreamObserver {
        StreamObserver {
            shared: self.shared.clone(),
            guard,
            request: self.accepted.head.id.clone(),
            digest: self.accepted.digest,
            route: self.accepted.route.clone(),
            backend: backend.clone(),
            arrived: self.accepted.arrived,
            first_part,
            recovery: None,
        }
    }

    /// Returns the events of a stream that may be resumed; `None` for any other. The number of
    /// bytes in a head with `Content-Length` is that of its own back end's stream only.
    fn recoverable_events(&self, headers: &HeaderMap) -> Option<StreamEvents> {
        let is_resumable = self.accepted.route.kind == RouteKind::Stream { resumable: true };
        let is_enabled = self.shared.settings.mechanisms.stream_recovery && is_resumable;
        if !is_enabled || headers.contains_key(CONTENT_LENGTH) || !is_event_stream(headers) {
            return None;
        }
        let assembler = EventAssembler::new(self.accepted.head.last_event);
        Some(StreamEvents::new(assembler, is_framed(headers)))
    }
}

/// Returns whether the end of a body is distinguishable from the end of its connection.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Returns whether a head names the format of events, or none.
pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_TYPE).is_none_or(|value| {
        let essence = value.to_str().unwrap_or_default().split(';').next();
        essence.is_some_and(|essence| essence.trim().eq_ignore_ascii_case(EVENT_STREAM))
    })
}
