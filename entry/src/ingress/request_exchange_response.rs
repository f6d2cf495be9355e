//! What the response of a back end means for a request and for its back end.

use {
    super::{
        observers::SendGuard,
        request_exchange::{elapsed_ms, RequestExchange, SendResult},
        stream_response::StartedStream,
    },
    bytes::Bytes,
    chalkcart_coordination::{
        backend_signals::RequestRate,
        crashes::PartRun,
        dispatch::{Assignment, DispatchEvent, SendOutcome},
        response_end::{EndCause, ResponseProgress, Verdict},
    },
    chalkcart_state::backends::BackendId,
    chalkcart_transport::{
        backend::BackendResponse,
        clock::{self, before_deadline},
        inbound::{BodyError, HeldParts, MeteredBody},
        ingress::{remove_connection_headers, BackendResponseHead},
    },
    http::{HeaderMap, Response, StatusCode},
    http_body_util::{BodyExt, Either, Full},
    std::time::Instant,
};

impl RequestExchange {
    pub(super) async fn handle_response(
        &self,
        backend: &BackendId,
        head: BackendResponseHead,
        backend_response: BackendResponse,
        mut guard: SendGuard,
    ) -> SendResult {
        let status = backend_response.response.status();
        let is_ours = head.request_id.as_deref() == Some(self.accepted.head.id.as_str());
        if status == StatusCode::MISDIRECTED_REQUEST {
            let is_other_backend = head.backend.is_some_and(|name| name != backend.name);
            let outcome = match is_other_backend {
                true => SendOutcome::Superseded,
                false => SendOutcome::Misdirected,
            };
            guard.end(outcome);
            return SendResult::NotRun(outcome);
        }
        if head.proves_not_run {
            guard.end(SendOutcome::Shed);
            return SendResult::NotRun(SendOutcome::Shed);
        }
        let is_valid = is_ours && !head.is_encoded && (head.is_signed || !status.is_success());
        // These would tell the client that the request did not run.
        let means_not_run = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::REQUEST_TIMEOUT
        );
        if !is_valid || means_not_run {
            let request = self.accepted.head.id.as_str();
            log::info!(request = request; "send: invalid response with status {status}");
            guard.end(SendOutcome::Failed);
            return SendResult::Failed(None);
        }
        if status.is_success() {
            guard.on_head();
        }
        match self.accepted.route.kind.is_stream() && status.is_success() {
            true => {
                let stream = StartedStream::new(backend_response, guard);
                SendResult::Streaming(Box::new(stream))
            }
            false => self.buffer_response(backend, backend_response, guard).await,
        }
    }

    /// Reports the signals in a back end's response headers to the dispatcher, before the body is
    /// complete.
    pub(super) fn report_signals(
        &self,
        assignment: &Assignment,
        sent_at: Instant,
        status: StatusCode,
        head: &BackendResponseHead,
    ) {
        let backend = assignment.backend.clone();
        let is_other_backend = head.backend.as_ref().is_some_and(|n| *n != backend.name);
        let signals = head.signals(status);
        // A response of this back end without a limit means that its earlier limit is lifted.
        let is_ours = head.request_id.as_deref() == Some(self.accepted.head.id.as_str());
        let is_from_backend = is_ours && status != StatusCode::MISDIRECTED_REQUEST;
        let lifts_limit = assignment.is_limited && is_from_backend;
        if is_other_backend || (signals.is_empty() && !lifts_limit) {
            return;
        }
        signals
            .codes()
            .for_each(|code| self.shared.metrics.on_backend_signal(code));
        log::info!(
            request = self.accepted.head.id.as_str(),
            backend = backend.as_str(),
            born = backend.start_time_ms,
            leaving = signals.is_leaving,
            rest_ms = signals.backoff.map_or(0, |backoff| backoff.as_millis() as u64),
            limit_per_s = signals.limit.rate().map_or(-1.0, RequestRate::per_s),
            cold_ms = signals.slow_start_left.map_or(-1, |left| left.as_millis() as i64),
            status = status.as_u16(),
            total_ms = elapsed_ms(self.accepted.arrived);
            "backend: signals received"
        );
        self.shared
            .control
            .send_event(DispatchEvent::SignalReceived {
                backend,
                signal: signals,
                sent_at,
            });
    }

    /// Counts and logs response headers that this build does not know, without their values.
    pub(super) fn record_unknown_headers(&self, backend: &BackendId, headers: &HeaderMap) {
        let dialect = &self.shared.dialect;
        for name in headers
            .keys()
            .filter(|name| !dialect.is_known_response_header(name))
        {
            let is_named = self.shared.metrics.on_unknown_header(name.as_str());
            if is_named && self.shared.unknown_headers.insert(backend, name.as_str()) {
                log::warn!(
                    backend = backend.as_str(),
                    born = backend.start_time_ms,
                    header = name.as_str();
                    "backend: unknown response header"
                );
            }
        }
    }

    /// Reads the complete body, so that a failed send can still be retried. A success that is too
    /// large for that is passed on as it arrives.
    async fn buffer_response(
        &self,
        backend: &BackendId,
        mut backend_response: BackendResponse,
        mut guard: SendGuard,
    ) -> SendResult {
        let is_event_stream = backend_response.has_events();
        let mut progress = ResponseProgress::new(backend_response.framing(), is_event_stream);
        let body = backend_response.response.body_mut();
        let held = HeldParts::new(self.shared.held.begin());
        let read = read_held(body, held, &mut progress);
        let read = before_deadline(self.deadline, read).await;
        let status = backend_response.response.status();
        let cause = match &read {
            Err(_) => EndCause::Local,
            Ok(Ok(HeldBody::Whole(_))) => EndCause::of_complete(progress.framing()),
            Ok(Ok(HeldBody::TooLarge)) => EndCause::TooLong,
            Ok(Err(e)) => e.end_cause(),
        };
        let ended = progress.ended(cause);
        let body = match read {
            Err(_) => {
                self.record_held_end(backend, status, false, &ended);
                return SendResult::TimedOut;
            }
            Ok(Ok(HeldBody::Whole(body))) if progress.verdict() == Verdict::Whole => body,
            Ok(Ok(HeldBody::TooLarge)) if status.is_success() => {
                let stream = StartedStream::of_large_response(backend_response, guard);
                return SendResult::Streaming(Box::new(stream));
            }
            Ok(Ok(HeldBody::Whole(_) | HeldBody::TooLarge) | Err(_)) => {
                self.record_held_end(backend, status, false, &ended);
                guard.end(SendOutcome::Broken);
                return SendResult::Failed(None);
            }
        };
        self.record_held_end(backend, status, true, &ended);
        let (mut parts, _) = backend_response.into_parts(is_event_stream);
        remove_connection_headers(&mut parts.headers, self.shared.dialect.end_to_end_headers());
        let is_failure = parts.status.is_server_error();
        let response = Response::from_parts(parts, Either::Left(Full::new(body)));
        if is_failure {
            guard.end(SendOutcome::Failed);
            return SendResult::Failed(Some(response));
        }
        let is_success = response.status().is_success();
        let outcome = match is_success {
            true => SendOutcome::of_complete(progress.framing()),
            false => SendOutcome::Answered,
        };
        if is_success && outcome == SendOutcome::Answered {
            let parts = &self.accepted.head.shared_parts;
            let mut run = PartRun::default();
            self.shared.crashes.on_parts_served(&mut run, parts);
        }
        guard.end(outcome);
        self.shared.metrics.on_send_ended(outcome.code());
        let route = &self.accepted.route.name;
        let after = clock::elapsed(self.accepted.arrived);
        self.shared.metrics.on_first_part(route, after);
        SendResult::Responded(response)
    }
}

/// A body that was read to be held.
enum HeldBody {
    Whole(Bytes),
    /// There is no room for all of it; what was read was put back.
    TooLarge,
}

/// Reads a body as long as there is room for it.
///
/// # Errors
/// The body broke off, is too long, or has an event that is.
async fn read_held(
    body: &mut MeteredBody,
    mut held: HeldParts,
    progress: &mut ResponseProgress,
) -> Result<HeldBody, BodyError> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        progress.on_data(&data);
        if progress.is_event_too_long() {
            let e = BodyError::EventTooLong;
            log::warn!(cause = e.to_string().as_str(); "inbound: too many bytes");
            return Err(e);
        }
        if !held.push(&data) {
            body.put_back(held);
            return Ok(HeldBody::TooLarge);
        }
    }
    Ok(HeldBody::Whole(held.into_bytes()))
}
