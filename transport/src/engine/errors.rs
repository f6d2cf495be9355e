use {crate::client::ClientError, chalkcart_coordination::sidecar::OrderResult, thiserror::Error};

/// A failed order to an engine, or a failed run on it.
#[derive(Debug, Error)]
pub enum EngineError {
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The engine refused the fence or the incarnation.
    #[error("engine refused the fence: {0}")]
    Fenced(String),
    /// The engine refused the order without effect.
    #[error("engine refused: {0}")]
    Refused(String),
}

impl EngineError {
    /// Returns whether the order was not executed and never will be.
    pub fn proves_not_done(&self) -> bool {
        match self {
            Self::Client(e) => e.proves_not_sent(),
            Self::Fenced(_) | Self::Refused(_) => true,
        }
    }
    pub fn order_result(&self) -> OrderResult {
        match self {
            Self::Client(e) if e.proves_not_sent() => OrderResult::Failed,
            Self::Client(_) => OrderResult::Unknown,
            Self::Fenced(_) => OrderResult::Fenced,
            Self::Refused(_) => OrderResult::Failed,
        }
    }
}
