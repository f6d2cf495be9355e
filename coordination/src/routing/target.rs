use {
    crate::membership::{rendezvous_weight, stable_hash},
    chalkcart_protocol::peer::TargetReport,
    chalkcart_state::{
        fleet::{BoxState, FleetBox},
        ids::VersionNumber,
    },
    std::time::{Duration, Instant},
};

/// time in which a report loses half of its weight
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// first time that a failed target is left out
const FIRST_SUSPICION: Duration = Duration::from_millis(300);
/// longest time that a failed target is left out
const LONGEST_SUSPICION: Duration = Duration::from_secs(5);
/// assumed until a target tells its own figures
const DEFAULT_TOKEN_TIME: Duration = Duration::from_millis(20);
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(500);
const DEFAULT_BATCH: u32 = 8;

#[derive(Debug)]
struct Heard {
    /// without the names of the loaded adapters
    report: TargetReport,
    /// hashes of the loaded adapters: names would take most of the memory
    loaded: Box<[u64]>,
    at: Instant,
}

/// what an entry knows of one target
#[derive(Debug)]
pub struct Target {
    pub listed: FleetBox,
    /// stable hash of its name
    pub hash: u64,
    heard: Option<Heard>,
    /// tokens sent there since its last report
    unreported_tokens: u64,
    /// requests of this entry that run there
    in_flight: u32,
    failures: u32,
    suspect_until: Option<Instant>,
}

impl Target {
    pub fn new(listed: FleetBox) -> Self {
        Self {
            hash: stable_hash(&listed.name),
            listed,
            heard: None,
            unreported_tokens: 0,
            in_flight: 0,
            failures: 0,
            suspect_until: None,
        }
    }

    pub fn report(&self) -> Option<&TargetReport> {
        self.heard.as_ref().map(|h| &h.report)
    }
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard.as_ref().map(|h| h.at)
    }
    /// takes nothing new, by its own word or the platform's
    pub fn is_leaving(&self) -> bool {
        self.listed.state == BoxState::Leaving || self.report().is_some_and(|r| r.leaving)
    }
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub fn on_report(&mut self, mut report: TargetReport, now: Instant) {
        let loaded = std::mem::take(&mut report.loaded);
        let hashes = loaded.iter().map(|l| loaded_hash(&l.adapter, l.version));
        self.unreported_tokens = 0;
        self.failures = 0;
        self.suspect_until = None;
        self.heard = Some(Heard {
            report,
            loaded: hashes.collect(),
            at: now,
        });
    }
    pub fn on_sent(&mut self, tokens: u64) {
        self.unreported_tokens += tokens;
        self.in_flight += 1;
    }
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }
    /// no contact, or no sign of life
    pub fn on_silence(&mut self, now: Instant) {
        let doublings = self.failures.min(8);
        let span = FIRST_SUSPICION.saturating_mul(1 << doublings);
        self.suspect_until = Some(now + span.min(LONGEST_SUSPICION));
        self.failures += 1;
    }

    /// tokens that wait there, an old report counting less
    pub fn queued_tokens(&self, now: Instant) -> f64 {
        let reported = self.heard.as_ref().map_or(0.0, |h| {
            let age = now.saturating_duration_since(h.at);
            let half_lives = age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
            h.report.queued_tokens as f64 * 0.5f64.powf(half_lives)
        });
        reported + self.unreported_tokens as f64
    }
    /// requests that run there, as far as known
    pub fn running(&self) -> u32 {
        let reported = self.report().map_or(0, |r| r.running);
        reported.max(self.in_flight)
    }
    pub fn max_running(&self) -> u32 {
        self.report()
            .map_or(DEFAULT_BATCH, |r| r.max_running)
            .max(1)
    }
    /// time of one token of one request
    pub fn token_time(&self) -> Duration {
        match self.report().map(|r| r.token_micros) {
            Some(micros) if micros > 0 => Duration::from_micros(micros),
            _ => DEFAULT_TOKEN_TIME,
        }
    }
    /// time until an adapter that is not loaded would be
    pub fn load_wait(&self) -> Duration {
        let wished = self.report().map_or(0, |r| r.wished);
        let one = match self.report().map(|r| r.load_millis) {
            Some(millis) if millis > 0 => Duration::from_millis(millis),
            _ => DEFAULT_LOAD_TIME,
        };
        one * (1 + wished)
    }
    /// by its last report, the target holds what has this hash
    pub fn has_loaded(&self, hash: u64) -> bool {
        self.heard
            .as_ref()
            .is_some_and(|h| h.loaded.contains(&hash))
    }
}

/// hash of an adapter's version. Two that meet on one value would only make a
/// target look as if it held the adapter, and the request wait for its load
pub fn loaded_hash(adapter: &str, version: VersionNumber) -> u64 {
    rendezvous_weight(stable_hash(adapter), u64::from(version))
}
