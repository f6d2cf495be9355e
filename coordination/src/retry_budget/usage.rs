use {
    chalkcart_protocol::peer::KnownEntries,
    std::{net::SocketAddr, time::Duration},
};

/// Usage of a service's retry budget at the time of a decision, for logs and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Requests in the last window.
    pub requests: u32,
    /// Retries that count, including those below.
    pub retries: u32,
    /// Retries that wait to be sent.
    pub reserved: u32,
    /// Retries that were sent and that no response shows to have been read.
    pub unanswered: u32,
    /// Retries whose send ended without a response and that may still be read.
    pub may_be_read: u32,
    /// Entries that share the budget, as this one believes.
    pub entries: u32,
    /// What sidecars remember of their number.
    pub known: KnownEntries,
    /// The engine whose sidecar counted most of late; `None` before the first report.
    pub counted_by: Option<SocketAddr>,
    /// Time since then.
    pub counted_ago: Option<Duration>,
}
