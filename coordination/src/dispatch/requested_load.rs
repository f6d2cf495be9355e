use chalkcart_state::backends::{AdapterRef, BackendId};

/// Why an adapter is to be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadCause {
    /// No engine holds it.
    Home,
    /// Its holders are too busy.
    Copy,
    /// An engine that held it recently would serve sooner.
    Reload,
}

impl LoadCause {
    /// Returns the code in logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Copy => "copy",
            Self::Reload => "return",
        }
    }
}

/// A load that was requested from engines, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedLoad {
    pub adapter: AdapterRef,
    pub backends: Vec<BackendId>,
    pub cause: LoadCause,
    /// Requests that wait in this entry.
    pub waiting: usize,
}
