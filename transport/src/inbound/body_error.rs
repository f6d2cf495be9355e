use {
    chalkcart_coordination::response_end::EndCause,
    std::{error::Error as _, io},
    thiserror::Error,
};

/// A body that could not be read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response is longer than its reader allows.
    #[error("response of more than {max} bytes")]
    TooLong { max: usize },
    #[error("an event without end")]
    EventTooLong,
    /// What its head says of its length is wrong.
    #[error("more of the body than its head declares")]
    BeyondEnd,
}

impl BodyError {
    /// Returns what ended the body.
    pub fn end_cause(&self) -> EndCause {
        match self {
            Self::Http(e) => http_end_cause(e),
            Self::TooLong { .. } | Self::EventTooLong => EndCause::TooLong,
            Self::BeyondEnd => EndCause::Invalid,
        }
    }
}

/// Returns what ended a message that could not be read to its end.
pub fn http_end_cause(e: &hyper::Error) -> EndCause {
    if e.is_incomplete_message() {
        return EndCause::Closed;
    }
    if e.is_parse() {
        return EndCause::Invalid;
    }
    let cause = e
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(io::ErrorKind::UnexpectedEof) => EndCause::Closed,
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => EndCause::Invalid,
        _ => EndCause::Reset,
    }
}
