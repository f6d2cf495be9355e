use {
    super::engine_runner::RunContext,
    crate::streams::SharedStream,
    chalkcart_coordination::sidecar::RunEnd,
    chalkcart_protocol::peer::{CallWork, FrameBody, Outcome, Reason},
    chalkcart_state::ids::RequestId,
    chalkcart_transport::{
        clock,
        service::{PlainService, ServiceError},
    },
    std::sync::Arc,
    tokio_util::sync::CancellationToken,
};

/// Calls a plain service. The call is sent at most once.
pub async fn run_service(
    service: Arc<dyn PlainService>,
    stream: Arc<SharedStream>,
    request: &RequestId,
    work: CallWork,
    context: RunContext,
    cancellation: CancellationToken,
) -> RunEnd {
    let started = clock::now();
    let end = |outcome, failure, detail: String| RunEnd {
        outcome,
        failure,
        detail,
        tokens: 1,
        duration: clock::elapsed(started),
        // No adapter must stay loaded for a plain service.
        may_still_run: false,
    };
    let remaining = context.deadline.saturating_duration_since(started);
    if remaining.is_zero() {
        return end(Outcome::NotRun, Some(Reason::DeadlinePassed), String::new());
    }
    let call = service.call(request, work.body.into(), remaining);
    let response = tokio::select! {
        response = call => response,
        _ = cancellation.cancelled() => {
            return end(Outcome::MayHaveRun, Some(Reason::Cancelled), String::new());
        }
    };
    match response {
        Ok(body) => {
            stream.push(FrameBody::Body(body.to_vec()));
            end(Outcome::Ran, None, String::new())
        }
        Err(ServiceError::Client(e)) if e.proves_not_sent() => {
            end(Outcome::NotRun, Some(Reason::Unreachable), e.to_string())
        }
        Err(e @ ServiceError::Client(_)) => {
            end(Outcome::MayHaveRun, Some(Reason::Lost), e.to_string())
        }
        Err(e @ ServiceError::Status(_)) => end(
            Outcome::MayHaveRun,
            Some(Reason::EngineFailed),
            e.to_string(),
        ),
    }
}
