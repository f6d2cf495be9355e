use thiserror::Error;

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
}
