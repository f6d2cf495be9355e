use chalkcart_state::backends::{AdapterRef, BackendId};

/// why engines are to load an adapter
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadCause {
    /// none holds it
    Home,
    /// those that hold it are too busy
    Copy,
    /// one that held it lately would serve sooner
    Reload,
}

impl LoadCause {
    /// the word in logs
    pub fn code(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Copy => "copy",
            Self::Reload => "return",
        }
    }
}

/// engines that were asked to load an adapter, for logs
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedLoad {
    pub adapter: AdapterRef,
    pub backends: Vec<BackendId>,
    pub cause: LoadCause,
    /// requests that wait in this entry
    pub waiting: usize,
}
