use {
    chalkcart_protocol::peer::{ListedVersion, VersionReport},
    chalkcart_state::{backends::SoftwareVersion, ids::ServiceName},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Longest time between two known times that count as one: while all entries start again, nobody
/// reads lists and no stream begins.
pub(super) const MAX_GAP: Duration = Duration::from_secs(5);

/// The software versions of one service that lists had, and the time of which all are known.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// When each version was listed last.
    listed_at: BTreeMap<SoftwareVersion, Instant>,
    known: Option<KnownTime>,
}

/// A time of which all versions are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KnownTime {
    /// `None` if nothing served before.
    since: Option<Instant>,
    until: Instant,
}

impl KnownTime {
    fn is_close_to(&self, other: &Self) -> bool {
        self.begins_before(other.until + MAX_GAP) && other.begins_before(self.until + MAX_GAP)
    }

    fn begins_before(&self, at: Instant) -> bool {
        self.since.is_none_or(|since| since <= at)
    }

    fn union(&self, other: &Self) -> Self {
        // `None` is the earliest
        Self {
            since: self.since.min(other.since),
            until: self.until.max(other.until),
        }
    }
}

impl VersionHistory {
    /// Takes the versions of a list. All lists since `since` are known; `None` if nothing served
    /// before the first one.
    pub fn on_list<'v>(
        &mut self,
        versions: impl Iterator<Item = &'v SoftwareVersion>,
        since: Option<Instant>,
        now: Instant,
    ) {
        self.known.get_or_insert(KnownTime { since, until: now });
        self.extend(versions, now);
    }

    /// Extends the known time to `until`; these versions were listed in all that was added.
    pub fn extend<'v>(
        &mut self,
        versions: impl Iterator<Item = &'v SoftwareVersion>,
        until: Instant,
    ) {
        for version in versions {
            let listed_at = self.listed_at.entry(version.clone()).or_insert(until);
            *listed_at = until.max(*listed_at);
        }
        if let Some(known) = &mut self.known {
            known.until = known.until.max(until);
        }
    }

    /// Takes the version of a back end that was listed at some time up to `now`.
    pub fn on_listed(&mut self, version: &Option<SoftwareVersion>, now: Instant) {
        if let Some(version) = version {
            let listed_at = self.listed_at.entry(version.clone()).or_insert(now);
            *listed_at = now.max(*listed_at);
        }
    }

    /// Begins the known time anew: some version may have been listed of which nothing is known.
    pub fn restart(&mut self, now: Instant) {
        if let Some(known) = &mut self.known {
            *known = KnownTime {
                since: Some(now),
                until: now,
            };
        }
    }

    /// Takes what another process reports.
    pub fn on_report(&mut self, report: &VersionReport, now: Instant) {
        let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
        for listed in &report.versions {
            let Some(at) = ago(listed.listed_ago_ms) else {
                continue;
            };
            let known = self.listed_at.entry(listed.version.clone()).or_insert(at);
            *known = at.max(*known);
        }
        let Some(until) = ago(report.until_ms) else {
            return;
        };
        // a time before the first moment of the clock is as good as always
        let since = report.since_ms.and_then(ago);
        self.join(KnownTime { since, until });
    }

    /// Extends the known time by one that is close to it; of two that are apart the later one counts.
    fn join(&mut self, other: KnownTime) {
        let known = match self.known {
            Some(known) if known.is_close_to(&other) => known.union(&other),
            Some(known) if known.until >= other.until => known,
            _ => other,
        };
        self.known = Some(known);
    }

    /// Takes versions that were listed some time before `now`.
    pub fn on_earlier<'v>(
        &mut self,
        versions: impl Iterator<Item = &'v SoftwareVersion>,
        now: Instant,
    ) {
        for version in versions {
            self.listed_at.entry(version.clone()).or_insert(now);
        }
    }

    /// Extends the known time by the last `time`, if there is one.
    pub fn cover(&mut self, time: Duration, now: Instant) {
        if let Some(known) = &mut self.known {
            // a time before the first moment of the clock is as good as always
            known.since = known.since.min(now.checked_sub(time));
        }
    }

    /// Returns the versions listed within `memory`.
    pub fn recent(&self, memory: Duration, now: Instant) -> Vec<SoftwareVersion> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < memory;
        let recent = self.listed_at.iter().filter(|(_, at)| is_recent(at));
        recent.map(|(version, _)| version.clone()).collect()
    }

    /// Returns whether all versions of the last `time` are known.
    pub fn covers(&self, time: Duration, now: Instant) -> bool {
        let known = self.known.as_ref();
        known.is_some_and(|known| match now.checked_sub(time) {
            Some(start) => known.begins_before(start),
            None => true,
        })
    }

    /// Returns the time of which all versions are known; `None` if there is none.
    pub fn covered(&self, now: Instant) -> Option<Duration> {
        let known = self.known?;
        Some(
            known
                .since
                .map_or(Duration::MAX, |since| now.saturating_duration_since(since)),
        )
    }

    pub fn forget_before(&mut self, memory: Duration, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < memory;
        self.listed_at.retain(|_, at| is_recent(at));
    }

    /// Returns what this process knows, for others; `None` if that is nothing.
    pub fn report(&self, service: &ServiceName, now: Instant) -> Option<VersionReport> {
        let known = self.known?;
        let ago = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let versions = self.listed_at.iter().map(|(version, at)| ListedVersion {
            version: version.clone(),
            listed_ago_ms: ago(*at),
        });
        Some(VersionReport {
            service: service.clone(),
            versions: versions.collect(),
            since_ms: known.since.map(ago),
            until_ms: ago(known.until),
        })
    }
}
