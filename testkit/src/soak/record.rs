use {
    crate::users_platform::{AcceptedOrder, CausedCrash},
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

/// A stream that broke off and that its client takes up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenUp {
    /// The attempt that brought the first event.
    pub first_attempt: String,
    /// The last event that the client has.
    pub last_event: usize,
}

/// Record of one client request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub id: String,
    pub kind: RequestKind,
    /// When its client sent it; `None` if that was not recorded.
    pub sent_at: Option<Instant>,
    /// Present if the request takes up a stream.
    pub taken_up: Option<TakenUp>,
    pub outcome: Outcome,
}

impl RequestRecord {
    /// Returns the ids of the events that the client received, complete or not.
    pub fn events(&self) -> Vec<usize> {
        let text = self.text();
        let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
        numbers.filter_map(|n| n.trim().parse().ok()).collect()
    }

    /// Returns the ids of the events that the client received completely.
    pub fn complete_events(&self) -> Vec<usize> {
        let ids = self.complete_blocks().into_iter().map(|(id, _)| id);
        ids.collect()
    }

    /// Returns the data of the complete events: the software versions of the engines, where these
    /// differ.
    pub fn event_data(&self) -> Vec<String> {
        let data = self.complete_blocks().into_iter().map(|(_, data)| data);
        data.collect()
    }

    fn complete_blocks(&self) -> Vec<(usize, String)> {
        let text = self.text();
        let (complete, _) = text.rsplit_once("\n\n").unwrap_or_default();
        let blocks = complete.split("\n\n").filter_map(|block| {
            let at = block.find("id: ")?;
            let (id, data) = block[at + 4..].split_once('\n')?;
            Some((id.parse().ok()?, data.strip_prefix("data: ")?.to_string()))
        });
        blocks.collect()
    }

    fn text(&self) -> String {
        match &self.outcome {
            Outcome::Responded { body, .. } => String::from_utf8_lossy(body).to_string(),
            Outcome::ConnectionLost => String::new(),
        }
    }
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

/// What became of the requests with the part that crashes engines.
#[derive(Debug, Clone, Default)]
pub struct PartRecord {
    /// Crashes under them, in their order.
    pub crashes: Vec<CausedCrash>,
    /// Times at which they reached engines, in their order, with their ids.
    pub arrivals: Vec<(Instant, String)>,
}

impl PartRecord {
    /// Returns the times of the crashes and of the arrivals, in s from the first arrival on.
    pub fn seconds(&self) -> (Vec<f64>, Vec<f64>) {
        let Some((first, _)) = self.arrivals.first() else {
            return Default::default();
        };
        let since = |at: Instant| at.saturating_duration_since(*first).as_secs_f64();
        let crashes = self.crashes.iter().map(|crash| since(crash.at));
        let arrivals = self.arrivals.iter().map(|(at, _)| since(*at));
        (crashes.collect(), arrivals.collect())
    }
}

/// Everything observed during a soak.
#[derive(Debug, Clone, Default)]
pub struct SoakRecord {
    pub requests: Vec<RequestRecord>,
    pub backends: Vec<BackendRecord>,
    pub configurations: ConfigurationHistory,
    /// Number of engine crashes caused by a request.
    pub crashes: u32,
    /// Number of crashes until all that crashes engines is blocked.
    pub crashes_until_blocked: u32,
    pub part: PartRecord,
    /// Ids of sound requests that were rejected for a part of their prompt.
    pub rejected_for_part: Vec<String>,
    /// Ids of requests whose connection was closed without a response by an entry that kept
    /// running.
    pub closed_unread: Vec<String>,
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
