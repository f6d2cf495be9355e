//! The response to a client whose body is the stream of a back end.

use {
    super::{
        observers::{SendGuard, StreamObserver},
        request_exchange::RequestExchange,
        stream_recovery::StreamRecovery,
    },
    chalkcart_coordination::{
        crashes::PartRun, dispatch::Assignment, stream_recovery::EventAssembler,
    },
    chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::{backends::BackendId, ingress::RouteKind},
    chalkcart_transport::{
        backend::BackendResponse,
        ingress::{remove_connection_headers, ClientResponse, ProxyBody, StreamEvents},
    },
    http::{header::CONTENT_LENGTH, Response},
    http_body_util::Either,
    std::time::Duration,
};

/// A stream whose head a back end has sent.
pub struct StartedStream {
    pub response: BackendResponse,
    pub guard: SendGuard,
    /// Whether the body is taken for a stream of events.
    pub is_event_stream: bool,
}

impl StartedStream {
    /// The response to a request for a stream, which is one of events unless its head says
    /// otherwise.
    pub fn new(response: BackendResponse, guard: SendGuard) -> Self {
        Self {
            is_event_stream: response.may_have_events(),
            response,
            guard,
        }
    }

    /// A response that is too large to be held until it is complete.
    pub fn of_large_response(response: BackendResponse, guard: SendGuard) -> Self {
        Self {
            is_event_stream: response.has_events(),
            response,
            guard,
        }
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
        let events = self.recoverable_events(&stream.response);
        let is_event_stream = stream.is_event_stream;
        let mut observer = self.stream_observer(&backend, stream.guard, None);
        observer.origin = self.origin(&assignment);
        let end_to_end = self.shared.dialect.end_to_end_headers();
        let (mut parts, body) = stream.response.into_parts(is_event_stream);
        remove_connection_headers(&mut parts.headers, end_to_end);
        if events.is_some() {
            let recovery = StreamRecovery::new(self, assignment);
            observer.recovery = Some(Box::new(recovery));
        }
        let body = ProxyBody::new(body, deadline, Box::new(observer), events);
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
            shared_parts: self.accepted.head.shared_parts.clone(),
            route: self.accepted.route.clone(),
            backend: backend.clone(),
            origin: None,
            arrived: self.accepted.arrived,
            first_part,
            part_run: PartRun::default(),
            written: None,
            recovery: None,
        }
    }

    /// Returns the origin of a stream that its client may take up; `None` for any other.
    fn origin(&self, assignment: &Assignment) -> Option<StreamOrigin> {
        let is_resumable = self.accepted.route.kind == RouteKind::Stream { resumable: true };
        is_resumable.then(|| StreamOrigin {
            request: self.accepted.head.id.clone(),
            service: self.request.service.clone(),
            backend: assignment.backend.clone(),
            version: assignment.software_version.clone(),
        })
    }

    /// Returns the events of a stream that may be resumed; `None` for any other. The number of
    /// bytes in a head with `Content-Length` is that of its own back end's stream only.
    fn recoverable_events(&self, response: &BackendResponse) -> Option<StreamEvents> {
        let is_resumable = self.accepted.route.kind == RouteKind::Stream { resumable: true };
        let is_enabled = self.shared.settings.mechanisms.stream_recovery && is_resumable;
        let has_length = response.response.headers().contains_key(CONTENT_LENGTH);
        if !is_enabled || has_length || !response.may_have_events() {
            return None;
        }
        let assembler = EventAssembler::new(self.accepted.head.last_event);
        Some(StreamEvents::new(assembler))
    }
}
