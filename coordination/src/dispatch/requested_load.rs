use {
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::Duration,
};

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

/// What was known when a load was requested, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadInputs {
    /// Engines of the service that hold the adapter.
    pub holders: u32,
    /// Engines of the service that have the adapter in host memory but don't hold it.
    pub in_memory: u32,
    /// Whether the first requested engine has it in host memory.
    pub is_reload: bool,
    /// Expected wait until prefill at the first requested engine.
    pub queue: Duration,
    /// Free or evictable slots of the first requested engine.
    pub spare_slots: u32,
    /// Age of the last report on the first requested engine.
    pub view_age: Option<Duration>,
    /// Whether many engines have no empty slot.
    pub are_slots_short: bool,
}

/// A load that was requested from engines, for logs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestedLoad {
    pub adapter: AdapterRef,
    pub backends: Vec<BackendId>,
    pub cause: LoadCause,
    /// Requests that wait in this entry.
    pub waiting: usize,
    pub inputs: LoadInputs,
}
