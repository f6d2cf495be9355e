use {
    crate::users_platform::TakenOrder,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// what a client asks for
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// may run more than once
    Safe,
    Unsafe,
    Stream,
}

/// how a request ended, as its client saw it
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// an answer; its body ended as its framing says
    Responded {
        status: u16,
        is_complete: bool,
        /// the id that it bears
        id: String,
        /// a back end's signature
        has_stamp: bool,
        body: Vec<u8>,
    },
    /// the connection ended with no answer, or broke off in one
    ConnectionLost,
}

/// one request of a client
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    pub outcome: Outcome,
}

/// what one back end saw
#[derive(Debug, Clone, Default)]
pub struct BackendRecord {
    pub name: String,
    pub is_engine: bool,
    /// ids of the requests that it ran, one for each run
    pub runs: Vec<String>,
    pub arrivals: Vec<(Instant, String)>,
    pub orders: Vec<TakenOrder>,
    /// most adapters held and on their way at any time
    pub most_adapters: usize,
    /// requests that came long after an answer had said that it leaves
    pub requests_while_leaving: usize,
    /// most requests that came in one of its rests
    pub max_requests_in_backoff: usize,
    /// requests that came beyond the limit that it named, in the worst window
    pub requests_over_limit: usize,
}

/// configurations that came into force at an entry, in the order of its log
#[derive(Debug, Clone, Default)]
pub struct ConfigurationHistory {
    /// one list for each life of the process
    pub incarnations: Vec<Vec<u64>>,
}

/// all that was seen in a soak
#[derive(Debug, Clone, Default)]
pub struct SoakRecord {
    pub requests: Vec<RequestRecord>,
    pub backends: Vec<BackendRecord>,
    pub configurations: ConfigurationHistory,
    /// engines that have ended under a request
    pub crashes: u32,
    /// times that an entry and sidecars were struck and may have forgotten it together
    pub crash_registry_losses: u32,
    /// processes that ended and were not ended by the soak
    pub exited_processes: Vec<String>,
    /// what did not come about once all faults were over
    pub not_recovered: Vec<String>,
    pub retry_ratio: f64,
    pub retry_extra: f64,
    pub retry_window: Duration,
}

impl SoakRecord {
    /// runs of each request, over all back ends
    pub fn runs(&self) -> HashMap<&str, usize> {
        let mut runs = HashMap::new();
        for id in self.backends.iter().flat_map(|b| &b.runs) {
            *runs.entry(id.as_str()).or_default() += 1;
        }
        runs
    }
}
