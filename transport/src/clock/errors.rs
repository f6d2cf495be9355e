use thiserror::Error;

/// An error of the process's clock.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClockError {
    #[error("the boot clock can't be read: {0}")]
    Unreadable(String),
    #[error("a clock is in use already")]
    InUse,
}
