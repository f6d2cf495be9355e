use {
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// Announced versions of adapters, each with the time at which this entry learned of it, if that
/// is about when it was announced. A version may be announced before the previous one is loaded
/// everywhere, so each has its own grace period for older ones.
#[derive(Debug, Default)]
pub struct AdapterVersions {
    /// Ascending; versions whose grace period for the next one is over are dropped.
    announced: HashMap<AdapterRef, Vec<(u64, Option<Instant>)>>,
}

impl AdapterVersions {
    /// Adds an announced version; returns false if a newer one is known. Requests may start
    /// on older versions for `grace` after `announced_at`, and on none if that is unknown.
    pub fn insert(
        &mut self,
        adapter: &AdapterRef,
        version: u64,
        announced_at: Option<Instant>,
        grace: Duration,
        now: Instant,
    ) -> bool {
        let versions = self.announced.entry(adapter.clone()).or_default();
        if versions
            .last()
            .is_some_and(|(newest, _)| *newest >= version)
        {
            return false;
        }
        let is_over = |(_, at): &(u64, Option<Instant>)| !is_within(*at, grace, now);
        let outdated = versions
            .iter()
            .take_while(|version| is_over(version))
            .count();
        versions.drain(..outdated.saturating_sub(1));
        versions.push((version, announced_at));
        true
    }
    /// Returns the newest version, 0 if none was announced.
    pub fn newest(&self, adapter: &AdapterRef) -> u64 {
        let versions = self.announced.get(adapter);
        let newest = versions.and_then(|versions| versions.last());
        newest.map_or(0, |(version, _)| *version)
    }
    /// Returns whether a request may start on a version: all newer ones were announced
    /// within `grace`.
    pub fn may_start(
        &self,
        adapter: &AdapterRef,
        version: u64,
        grace: Duration,
        now: Instant,
    ) -> bool {
        let versions = self.announced.get(adapter).into_iter().flatten();
        let mut newer = versions.filter(|(announced, _)| *announced > version);
        newer.all(|(_, at)| is_within(*at, grace, now))
    }
}

fn is_within(at: Option<Instant>, grace: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < grace)
}
