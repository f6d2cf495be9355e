use thiserror::Error;

/// The process's clock can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClockError {
    #[error("the boot clock can't be read: {0}")]
    Unreadable(String),
    #[error("a clock is in use already")]
    InUse,
}
