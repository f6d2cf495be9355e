use {super::DispatchRequest, chalkcart_state::backends::AdapterRef};

/// Waiting requests that a new view may allow to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AffectedRequests {
    All,
    /// Requests for adapters that were loaded.
    OfAdapters(Vec<AdapterRef>),
}

impl AffectedRequests {
    pub fn includes(&self, request: &DispatchRequest) -> bool {
        match self {
            Self::All => true,
            Self::OfAdapters(adapters) => request
                .adapter
                .as_ref()
                .is_some_and(|a| adapters.contains(a)),
        }
    }
    pub fn is_empty(&self) -> bool {
        *self == Self::OfAdapters(Vec::new())
    }
}
