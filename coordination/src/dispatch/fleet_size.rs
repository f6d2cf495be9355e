use {
    crate::membership::EntryCountMemory,
    chalkcart_protocol::peer::KnownEntries,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time for which the highest of the sidecars' current counts is used once a number is remembered:
/// some of them hear fewer.
const CURRENT_COUNT_WINDOW: Duration = Duration::from_secs(10);
/// Age up to which a sidecar's report shows that it is heard.
const HEARD_FOR: Duration = Duration::from_secs(3);
/// Lowest number assumed while it is unknown; a fleet of more engines may have as many entries.
const MIN_ASSUMED_ENTRIES: u32 = 32;

/// How many entries share what the fleet as a whole may use, as this one believes.
///
/// What is shared is exceeded if any entry believes in fewer than there are. So the number is the
/// highest that sidecars have counted for long (`EntryCountMemory`). Until more than half of the
/// engines' sidecars were heard at one time, a high number is assumed: those of a small part of
/// the fleet, if all of them just started, know nothing of the rest.
#[derive(Debug, Default)]
pub struct FleetSize {
    memory: EntryCountMemory,
    /// The highest of the recent current counts.
    current: Option<EntryCount>,
    /// When each sidecar was heard last, until most are heard at one time.
    heard: HashMap<SocketAddr, Instant>,
    has_heard_most: bool,
}

/// A number of entries that a sidecar reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryCount {
    pub entries: u32,
    /// Address of the sidecar's engine.
    pub by: SocketAddr,
    /// When it was reported last.
    pub at: Instant,
}

impl FleetSize {
    /// Handles a sidecar's current count, 0 if unknown, and what it remembers.
    pub fn on_report(&mut self, count: EntryCount, known: KnownEntries, listed_engines: usize) {
        self.memory.on_known(known, count.at);
        if !self.has_heard_most {
            self.on_heard(count.by, listed_engines, count.at);
        }
        let is_unconfirmed = self.memory.known(count.at).entries == 0;
        let holds = |current: &EntryCount| {
            let age = count.at.saturating_duration_since(current.at);
            let is_recent = age < CURRENT_COUNT_WINDOW || is_unconfirmed;
            current.entries > count.entries && is_recent
        };
        if count.entries > 0 && !self.current.as_ref().is_some_and(holds) {
            self.current = Some(count);
        }
    }
    /// Returns the number of entries that share. `has_restarted` tells whether the fleet was
    /// serving when this process started, so that current counts may be of a part of it.
    pub fn sharing_entries(&self, listed_engines: usize, has_restarted: bool, now: Instant) -> u32 {
        let known = self.memory.known(now).entries;
        let current = self.current.map_or(0, |current| current.entries);
        let highest = current.max(known);
        let is_known = match known {
            0 => self.has_heard_most && !has_restarted,
            _ => self.has_heard_most,
        };
        match is_known {
            true => highest,
            false => highest.max(MIN_ASSUMED_ENTRIES).max(listed_engines as u32),
        }
    }

    fn on_heard(&mut self, sidecar: SocketAddr, listed_engines: usize, now: Instant) {
        self.heard.insert(sidecar, now);
        let are_most = |heard: usize| listed_engines > 0 && 2 * heard > listed_engines;
        if are_most(self.heard.len()) {
            self.heard
                .retain(|_, at| now.saturating_duration_since(*at) < HEARD_FOR);
            self.has_heard_most = are_most(self.heard.len());
        }
        if self.has_heard_most {
            self.heard = HashMap::new();
        }
    }

    /// Returns the highest number that any sidecar reports or remembers; `None` before the first
    /// report.
    pub fn highest(&self, now: Instant) -> Option<u32> {
        let current = self.current?;
        Some(current.entries.max(self.memory.known(now).entries))
    }
    /// Returns what sidecars remember.
    pub fn known(&self, now: Instant) -> KnownEntries {
        self.memory.known(now)
    }
    /// Returns the highest of the recent current counts, for logs and metrics.
    pub fn current(&self) -> Option<EntryCount> {
        self.current
    }
}
