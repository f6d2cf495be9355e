use {
    chalkcart_state::backends::AdapterRef,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// The versions of adapters that were named, each with the moment at which this entry
/// heard of it: one may be named before the last is everywhere, and each has its own time
/// until nothing older may begin.
#[derive(Debug, Default)]
pub struct AdapterVersions {
    /// ascending; those that a later one has outlived are forgotten
    named: HashMap<AdapterRef, Vec<(u64, Instant)>>,
}

impl AdapterVersions {
    /// a version was named; false if a newer one is known. Requests may begin on older
    /// ones for `grace` longer.
    pub fn put(
        &mut self,
        adapter: &AdapterRef,
        version: u64,
        grace: Duration,
        now: Instant,
    ) -> bool {
        let rows = self.named.entry(adapter.clone()).or_default();
        if rows.last().is_some_and(|(newest, _)| *newest >= version) {
            return false;
        }
        let is_over = |(_, at): &(u64, Instant)| now.saturating_duration_since(*at) >= grace;
        let outlived = rows.iter().take_while(|row| is_over(row)).count();
        rows.drain(..outlived.saturating_sub(1));
        rows.push((version, now));
        true
    }
    /// the newest version, 0 if none was named
    pub fn newest(&self, adapter: &AdapterRef) -> u64 {
        let rows = self.named.get(adapter);
        let newest = rows.and_then(|rows| rows.last());
        newest.map_or(0, |(version, _)| *version)
    }
    /// whether a request may begin on a version: all newer ones were named within `grace`
    pub fn may_begin(
        &self,
        adapter: &AdapterRef,
        version: u64,
        grace: Duration,
        now: Instant,
    ) -> bool {
        let rows = self.named.get(adapter).into_iter().flatten();
        let mut newer = rows.filter(|(named, _)| *named > version);
        newer.all(|(_, at)| now.saturating_duration_since(*at) < grace)
    }
}
