use {
    chalkcart_state::backends::BackendId,
    std::{net::SocketAddr, time::Duration},
};

/// where a request goes
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    pub backend: BackendId,
    pub addr: SocketAddr,
    /// the version of the adapter that must run
    pub version: Option<u64>,
}

/// why a request is refused
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// the service has no back end that takes work
    NoBackend,
    /// each back end is full
    Full,
    /// its adapter was not loaded in time
    NotLoaded,
    /// the budget for repeats is used up
    NoBudget,
}

impl RefusalCause {
    /// the word in logs and metrics
    pub fn code(self) -> &'static str {
        match self {
            Self::NoBackend => "no_backend",
            Self::Full => "full",
            Self::NotLoaded => "not_loaded",
            Self::NoBudget => "no_budget",
        }
    }
}

/// what becomes of a request
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    Send(Assignment),
    Refuse {
        cause: RefusalCause,
        /// when it could be served
        retry_after: Duration,
    },
}
