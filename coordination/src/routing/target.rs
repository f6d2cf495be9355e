use {
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_protocol::peer::TargetReport,
    chalkcart_state::{
        fleet::{BoxState, FleetBox},
        ids::VersionNumber,
    },
    std::time::{Duration, Instant},
};

/// Half-life of the queue length in a report.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Time for which a target is avoided after a first failure; doubles with each further one.
const FIRST_SUSPICION: Duration = Duration::from_millis(300);
const MAX_SUSPICION: Duration = Duration::from_secs(5);
/// Values assumed until a target reports its own.
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(500);
const DEFAULT_MAX_RUNNING: u32 = 8;

#[derive(Debug)]
struct ReceivedReport {
    /// Without the names of the loaded adapters.
    report: TargetReport,
    /// Hashes of the loaded adapters, which take less memory than their names.
    loaded: Box<[u64]>,
    at: Instant,
}

/// State of one target as known to an entry.
#[derive(Debug)]
pub struct Target {
    pub listed: FleetBox,
    /// Stable hash of the target's name.
    pub hash: u64,
    last_report: Option<ReceivedReport>,
    /// Tokens sent to the target since its last report.
    unreported_tokens: u64,
    /// This entry's requests in flight to the target.
    in_flight: u32,
    failures: u32,
    suspect_until: Option<Instant>,
}

impl Target {
    pub fn new(listed: FleetBox) -> Self {
        Self {
            hash: stable_hash(&listed.name),
            listed,
            last_report: None,
            unreported_tokens: 0,
            in_flight: 0,
            failures: 0,
            suspect_until: None,
        }
    }

    pub fn report(&self) -> Option<&TargetReport> {
        self.last_report.as_ref().map(|r| &r.report)
    }
    /// Returns when the last report arrived.
    pub fn reported_at(&self) -> Option<Instant> {
        self.last_report.as_ref().map(|r| r.at)
    }
    /// Returns whether the target accepts no new requests, by its own report or by the
    /// platform's list.
    pub fn is_leaving(&self) -> bool {
        self.listed.state == BoxState::Leaving || self.report().is_some_and(|r| r.leaving)
    }
    /// Returns whether the target is avoided after a failure.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
    /// Returns the number of this entry's requests in flight to the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub fn on_report(&mut self, mut report: TargetReport, now: Instant) {
        let loaded = std::mem::take(&mut report.loaded);
        let hashes = loaded
            .iter()
            .map(|l| adapter_version_hash(&l.adapter, l.version));
        self.unreported_tokens = 0;
        self.failures = 0;
        self.suspect_until = None;
        self.last_report = Some(ReceivedReport {
            report,
            loaded: hashes.collect(),
            at: now,
        });
    }
    pub fn on_request_sent(&mut self, tokens: u64) {
        self.unreported_tokens += tokens;
        self.in_flight += 1;
    }
    pub fn on_request_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
    /// Marks the target as suspect, as it was unreachable or stopped responding.
    pub fn on_unresponsive(&mut self, now: Instant) {
        let doublings = self.failures.min(8);
        let suspicion = FIRST_SUSPICION.saturating_mul(1 << doublings);
        self.suspect_until = Some(now + suspicion.min(MAX_SUSPICION));
        self.failures += 1;
    }

    /// Returns the estimated number of tokens in the target's queue. The reported number decays
    /// with the age of the report.
    pub fn queued_tokens(&self, now: Instant) -> f64 {
        let reported = self.last_report.as_ref().map_or(0.0, |r| {
            let age = now.saturating_duration_since(r.at);
            let half_lives = age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
            r.report.queued_tokens as f64 * 0.5f64.powf(half_lives)
        });
        reported + self.unreported_tokens as f64
    }
    /// Returns the number of requests known to run on the target.
    pub fn running(&self) -> u32 {
        let reported = self.report().map_or(0, |r| r.running);
        reported.max(self.in_flight)
    }
    pub fn max_running(&self) -> u32 {
        self.report()
            .map_or(DEFAULT_MAX_RUNNING, |r| r.max_running)
            .max(1)
    }
    /// Returns the time between two tokens of one request.
    pub fn token_time(&self) -> Duration {
        match self.report().map(|r| r.token_micros) {
            Some(micros) if micros > 0 => Duration::from_micros(micros),
            _ => DEFAULT_TOKEN_TIME,
        }
    }
    /// Returns the time until an adapter that isn't loaded would be, after the pending loads.
    pub fn load_wait(&self) -> Duration {
        let pending = self.report().map_or(0, |r| r.wished);
        let load_time = match self.report().map(|r| r.load_millis) {
            Some(millis) if millis > 0 => Duration::from_millis(millis),
            _ => DEFAULT_LOAD_TIME,
        };
        load_time * (1 + pending)
    }
    /// Returns whether the last report lists the adapter version with this hash.
    pub fn has_loaded(&self, hash: u64) -> bool {
        self.last_report
            .as_ref()
            .is_some_and(|r| r.loaded.contains(&hash))
    }
}

/// Returns the hash of an adapter's version. On a collision a target only seems to hold the
/// adapter, and the request waits for the load.
pub fn adapter_version_hash(adapter: &str, version: VersionNumber) -> u64 {
    rendezvous_weight(stable_hash(adapter), u64::from(version))
}
