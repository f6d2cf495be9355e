//! Conversion of refusals to and from gRPC statuses with `google.rpc` details.

use {
    crate::peer::{Outcome, Reason, Refusal, Step},
    std::{collections::HashMap, time::Duration},
    tonic::{Code, Status},
    tonic_types::{ErrorDetails, StatusExt},
};

/// Domain of the `ErrorInfo` detail.
pub const ERROR_DOMAIN: &str = "chalkcart";
/// Key of the outcome in the `ErrorInfo` detail.
pub const OUTCOME_KEY: &str = "outcome";
/// Key of the step in the `ErrorInfo` detail.
pub const STEP_KEY: &str = "step";
/// Key of the peer in the `ErrorInfo` detail.
pub const PEER_KEY: &str = "peer";

/// Converts a refusal to the status that the caller receives.
pub fn to_status(refusal: &Refusal) -> Status {
    Status::with_error_details(code_of(refusal), refusal.to_string(), details_of(refusal))
}

/// Returns the status of an invalid request, with the invalid field as a detail.
pub fn bad_field(outcome: Outcome, peer: &str, field: &str, description: &str) -> Status {
    let refusal = Refusal::new(outcome, Step::Admission, peer, Reason::BadRequest)
        .with_detail(format!("{field}: {description}"));
    let mut details = details_of(&refusal);
    details.add_bad_request_violation(field, description);
    Status::with_error_details(Code::InvalidArgument, refusal.to_string(), details)
}

/// Returns the outcome in a status; without one, the request may have run.
pub fn outcome_of(status: &Status) -> Outcome {
    let info = status.get_details_error_info();
    let outcome = info.and_then(|i| i.metadata.get(OUTCOME_KEY).cloned());
    match outcome.as_deref() {
        Some("NOT_RUN") => Outcome::NotRun,
        Some("RAN") => Outcome::Ran,
        _ => Outcome::MayHaveRun,
    }
}

/// Returns the reason code in a status.
pub fn reason_of(status: &Status) -> Option<String> {
    status.get_details_error_info().map(|i| i.reason)
}

/// Returns the retry delay in a status.
pub fn retry_after_of(status: &Status) -> Option<Duration> {
    status.get_details_retry_info()?.retry_delay
}

fn details_of(refusal: &Refusal) -> ErrorDetails {
    let metadata = HashMap::from([
        (OUTCOME_KEY.to_string(), refusal.outcome.to_string()),
        (STEP_KEY.to_string(), refusal.step.to_string()),
        (PEER_KEY.to_string(), refusal.peer.clone()),
    ]);
    let mut details = ErrorDetails::new();
    details.set_error_info(refusal.reason.code(), ERROR_DOMAIN, metadata);
    if refusal.retry_after.is_some() {
        details.set_retry_info(refusal.retry_after);
    }
    details
}

fn code_of(refusal: &Refusal) -> Code {
    match refusal.reason {
        Reason::BadRequest | Reason::UnknownId => Code::InvalidArgument,
        Reason::Overloaded => Code::ResourceExhausted,
        Reason::DeadlinePassed => Code::DeadlineExceeded,
        Reason::Cancelled => Code::Cancelled,
        Reason::ExpiredId
        | Reason::ForgottenId
        | Reason::EarlierIncarnation
        | Reason::AnswerGone => Code::FailedPrecondition,
        Reason::NoTarget
        | Reason::Leaving
        | Reason::Superseded
        | Reason::Unreachable
        | Reason::LoadFailed => Code::Unavailable,
        Reason::WrongVersion | Reason::EngineFailed | Reason::Lost => match refusal.outcome {
            Outcome::NotRun => Code::Unavailable,
            _ => Code::Aborted,
        },
    }
}
