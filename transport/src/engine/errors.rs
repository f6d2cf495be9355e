use {crate::client::ClientError, chalkcart_coordination::sidecar::OrderResult, thiserror::Error};

/// how an order or a run at an engine failed
#[derive(Debug, Error)]
pub enum EngineError {
    #[error(transparent)]
    Client(#[from] ClientError),
    /// the engine refused the fence or the incarnation
    #[error("engine refused the fence: {0}")]
    Fenced(String),
    /// the engine says that it did nothing
    #[error("engine refused: {0}")]
    Refused(String),
}

impl EngineError {
    /// the order can't have been carried out, and never will
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
