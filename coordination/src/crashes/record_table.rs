use {
    super::crash_record::{Crash, CrashRecord},
    chalkcart_state::ingress::RequestDigest,
    std::{collections::HashMap, time::Instant},
};

/// One in this many records is evicted when a table is full.
const EVICTION_DIVISOR: usize = 4;

/// Crash records of bounded number.
#[derive(Debug)]
pub struct RecordTable {
    records: HashMap<RequestDigest, CrashRecord>,
    max_records: usize,
    max_crashes_per_record: usize,
}

impl RecordTable {
    pub fn new(max_records: usize, max_crashes_per_record: usize) -> Self {
        Self {
            records: HashMap::new(),
            max_records,
            max_crashes_per_record,
        }
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
    pub fn iter(&self) -> impl Iterator<Item = (&RequestDigest, &CrashRecord)> {
        self.records.iter()
    }

    /// Returns the crashes of a record, none if there is no record.
    pub fn crashes_of(&self, digest: &RequestDigest) -> &[Crash] {
        let record = self.records.get(digest);
        record.map_or(&[], |record| record.crashes.as_slice())
    }

    /// Returns the record of a request or part that is tried now; removes an expired one.
    pub fn used(&mut self, digest: &RequestDigest, now: Instant) -> Option<&mut CrashRecord> {
        if self.records.get(digest)?.is_expired(now) {
            self.records.remove(digest);
        }
        let record = self.records.get_mut(digest)?;
        record.last_used = now;
        Some(record)
    }

    /// Returns a record that is reported now, and makes it if there is none.
    pub fn reported(&mut self, digest: RequestDigest, now: Instant) -> &mut CrashRecord {
        if self.records.len() >= self.max_records && !self.records.contains_key(&digest) {
            self.evict(now);
        }
        let max_crashes = self.max_crashes_per_record;
        let record = self.records.entry(digest);
        let record = record.or_insert_with(|| CrashRecord::new(max_crashes, now));
        record.last_used = now;
        record
    }

    /// Evicts the records with the fewest crashes, and among these the least recently used, so
    /// that a flood of new ones doesn't displace those already blocked.
    fn evict(&mut self, now: Instant) {
        self.records.retain(|_, record| !record.is_expired(now));
        let mut ranked: Vec<(usize, Instant, RequestDigest)> = self
            .records
            .iter()
            .map(|(digest, record)| (record.crashes.len(), record.last_used, *digest))
            .collect();
        ranked.sort_unstable();
        let excess =
            (ranked.len() + self.max_records / EVICTION_DIVISOR).saturating_sub(self.max_records);
        for (_, _, digest) in ranked.into_iter().take(excess) {
            self.records.remove(&digest);
        }
    }
}
