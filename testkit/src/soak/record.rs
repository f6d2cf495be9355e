use {
    crate::users_platform::AcceptedOrder,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run more than once.
    Safe,
    Unsafe,
    Stream,
}

/// Result of a request as seen by its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The client received a response; `is_complete` tells whether its body ended as framed.
    Responded {
        status: u16,
        is_complete: bool,
        /// Request id in the response.
        id: String,
        /// Whether the response carries a back end's stamp.
        has_stamp: bool,
        body: Vec<u8>,
    },
    /// The connection ended before or during the response.
    ConnectionLost,
}

/// Record of one client request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    pub outcome: Outcome,
}

/// Record of what one back end received and ran.
#[derive(Debug, Clone, Default)]
pub struct BackendRecord {
    pub name: String,
    pub is_engine: bool,
    /// Request ids, one for each run.
    pub runs: Vec<String>,
    pub arrivals: Vec<(Instant, String)>,
    pub orders: Vec<AcceptedOrder>,
    /// Maximum number of adapters held and loading at the same time.
    pub max_adapters: usize,
    /// Requests received after the drain period that follows the leaving signal.
    pub requests_while_leaving: usize,
    /// Maximum number of requests received during one requested back-off.
    pub max_requests_in_backoff: usize,
    /// Maximum number of requests beyond the advertised limit in one window.
    pub requests_over_limit: usize,
}

/// Configurations that came into force at an entry, in the order of its log.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHistory {
    /// One list of versions per incarnation of the process.
    pub incarnations: Vec<Vec<u64>>,
}

/// Everything observed during a soak.
#[derive(Debug, Clone, Default)]
pub struct SoakRecord {
    pub requests: Vec<RequestRecord>,
    pub backends: Vec<BackendRecord>,
    pub configurations: ConfigurationHistory,
    /// Number of engine crashes caused by a request.
    pub crashes: u32,
    /// Number of faults by which the entry and the sidecars may both have lost the crash
    /// registry.
    pub crash_registry_losses: u32,
    /// Processes that exited without being stopped by the soak.
    pub exited_processes: Vec<String>,
    /// Routes and state that did not recover after the last fault.
    pub not_recovered: Vec<String>,
    /// Maximum number of runs of a stream.
    pub max_stream_runs: usize,
    /// Number of events in a complete stream.
    pub stream_events: usize,
    pub retry_ratio: f64,
    pub retry_extra: f64,
    pub retry_window: Duration,
}

impl SoakRecord {
    /// Counts the runs of each request over all back ends.
    pub fn runs(&self) -> HashMap<&str, usize> {
        let mut runs = HashMap::new();
        for id in self.backends.iter().flat_map(|b| &b.runs) {
            *runs.entry(id.as_str()).or_default() += 1;
        }
        runs
    }
}
