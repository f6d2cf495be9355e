use {
    chalkcart_protocol::peer::PublishedResponse,
    chalkcart_state::{
        backends::{AdapterRef, BackendName},
        ids::ZoneName,
        published::{Record, RecordSubject, Snapshot, StorePosition},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
};

/// Maximum number of removed back ends that are remembered, so that entries receive their
/// removal.
const MAX_REMOVED_BACKENDS: usize = 2_000;

/// The key of a record; a later record with the same key replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKey {
    Table,
    Version(AdapterRef),
    Backend(BackendName),
    Zone(ZoneName),
    Other(String),
}

/// A relay's copy of one topic of the platform's store. Positions are those of the store,
/// so that an entry may switch to another relay or to the store itself.
#[derive(Debug)]
pub struct PublishedCache {
    /// Time without data from the store after which the copy is stale.
    stale_after: Duration,
    /// Records with the positions at which they changed.
    records: BTreeMap<RecordKey, (StorePosition, Record)>,
    /// Position up to which the copy is complete.
    position: StorePosition,
    /// Whether the store has begun another era since the first read.
    has_changed_era: bool,
    received_at: Option<Instant>,
    /// Last time at which the store had nothing newer.
    current_at: Option<Instant>,
    /// Changes up to this position may be missing from the copy.
    history_lost_to: StorePosition,
}

impl PublishedCache {
    pub fn new(stale_after: Duration) -> Self {
        Self {
            stale_after,
            records: BTreeMap::new(),
            position: StorePosition::default(),
            has_changed_era: false,
            received_at: None,
            current_at: None,
            history_lost_to: StorePosition::default(),
        }
    }

    /// Returns the position up to which the copy is complete.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Applies a listing of the topic (`is_full`) or a set of changes; the store had
    /// nothing newer at `current_at`. Returns false if the update is older than the copy, which
    /// then stays as it is.
    pub fn apply(
        &mut self,
        update: Snapshot,
        is_full: bool,
        current_at: Instant,
        now: Instant,
    ) -> bool {
        let is_new_era = update.at.era > self.position.era;
        if update.at < self.position || is_new_era && !is_full {
            // an earlier state does not show that the store can still be reached
            return false;
        }
        self.has_changed_era |= is_new_era && self.received_at.is_some();
        self.received_at = Some(now);
        self.current_at = self.current_at.max(Some(current_at));
        if is_full {
            self.record_removals(&update);
            // Changes before the listing are unknown, so that an entry at an earlier
            // position must read the topic in full.
            self.history_lost_to = update.at;
        }
        self.position = update.at;
        for record in update.records {
            let key = record_key(&record);
            // A change gets its position even if the listing contained it already. The
            // pages of a listing are no snapshot: a later page may include changes after
            // the listing's position, which is that of its first page.
            let known = self.records.get(&key).map(|(_, known)| known);
            let record = match known {
                Some(known) if known.is_later_version_of(&record) => known.clone(),
                _ => record,
            };
            if !is_full || known != Some(&record) {
                self.records.insert(key, (update.at, record));
            }
        }
        self.drop_old_removals();
        true
    }

    /// Returns the response to an entry that knows the topic up to the position `after` and
    /// sent its request at `requested_at`; `None` if there is nothing newer.
    pub fn response(
        &self,
        after: Option<StorePosition>,
        requested_at: Instant,
        now: Instant,
    ) -> Option<PublishedResponse> {
        let age = self.received_at.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age > self.stale_after) {
            return Some(PublishedResponse::Stale);
        }
        let Some(after) = after else {
            let is_present = |record: &&Record| !matches!(record, Record::BackendGone(_));
            let records = self.records.values().map(|(_, record)| record);
            let present = records.filter(is_present).cloned().collect();
            return Some(self.records_response(present, requested_at));
        };
        let Some(after) = self.known_position(after) else {
            return Some(PublishedResponse::Stale);
        };
        if after < self.history_lost_to {
            return Some(PublishedResponse::HistoryLost);
        }
        let newer = self.records.values().filter(|(at, _)| *at > after);
        let newer: Vec<Record> = newer.map(|(_, record)| record.clone()).collect();
        (!newer.is_empty()).then(|| self.records_response(newer, requested_at))
    }

    /// Returns the response to an entry whose wait for a change has timed out.
    pub fn empty_response(
        &self,
        after: Option<StorePosition>,
        requested_at: Instant,
    ) -> PublishedResponse {
        let after = after.and_then(|after| self.known_position(after));
        let at = self.position.max(after.unwrap_or_default());
        let records = Vec::new();
        self.snapshot_response(Snapshot { records, at }, requested_at)
    }

    /// Returns the position of a caller in this copy's eras; `None` if the copy can't tell what
    /// the caller lacks: it knows a later era, or it is of a build that names none and its revision
    /// may be of an earlier one.
    fn known_position(&self, after: StorePosition) -> Option<StorePosition> {
        let position = self.position;
        if after.era != 0 || position.era == 0 {
            return (after.era <= position.era).then_some(after);
        }
        let may_be_earlier = self.has_changed_era || after.revision > position.revision;
        (!may_be_earlier).then_some(StorePosition::new(position.era, after.revision))
    }

    fn records_response(&self, records: Vec<Record>, requested_at: Instant) -> PublishedResponse {
        let at = self.position;
        self.snapshot_response(Snapshot { records, at }, requested_at)
    }

    fn snapshot_response(&self, snapshot: Snapshot, requested_at: Instant) -> PublishedResponse {
        let current_ms = match self.current_at {
            Some(at) if at >= requested_at => at.duration_since(requested_at).as_millis() as i64,
            Some(at) => -(requested_at.duration_since(at).as_millis() as i64) - 1,
            None => return PublishedResponse::Stale,
        };
        PublishedResponse::Records {
            snapshot,
            current_ms,
        }
    }

    /// Records which known back ends and evacuations of zones a listing no longer contains.
    fn record_removals(&mut self, listing: &Snapshot) {
        let listed: BTreeSet<RecordKey> = listing.records.iter().map(record_key).collect();
        for (key, (at, record)) in &mut self.records {
            if listed.contains(key) {
                continue;
            }
            match record {
                Record::Backend(backend) => {
                    *record = Record::BackendGone(backend.id.name.clone());
                    *at = listing.at;
                }
                Record::Zone { is_evacuated, .. } if *is_evacuated => {
                    *is_evacuated = false;
                    *at = listing.at;
                }
                _ => {}
            }
        }
    }

    /// Drops the older half of the remembered removals once there are too many.
    fn drop_old_removals(&mut self) {
        let records = self.records.values();
        let removed = records.filter(|(_, record)| matches!(record, Record::BackendGone(_)));
        let mut removed_at: Vec<StorePosition> = removed.map(|(at, _)| *at).collect();
        if removed_at.len() <= MAX_REMOVED_BACKENDS {
            return;
        }
        removed_at.sort_unstable();
        let median = removed_at[removed_at.len() / 2];
        // A later listing may have lost more.
        self.history_lost_to = median.max(self.history_lost_to);
        let is_kept = |(at, record): &(StorePosition, Record)| {
            !matches!(record, Record::BackendGone(_)) || *at > median
        };
        self.records.retain(|_, entry| is_kept(entry));
    }
}

fn record_key(record: &Record) -> RecordKey {
    match record {
        Record::Table(_) => RecordKey::Table,
        Record::AdapterVersion { adapter, .. } => RecordKey::Version(adapter.clone()),
        Record::Backend(backend) => RecordKey::Backend(backend.id.name.clone()),
        Record::BackendGone(id) => RecordKey::Backend(id.clone()),
        Record::Zone { zone, .. } => RecordKey::Zone(zone.clone()),
        // has the key of the readable record, so that it replaces that one at entries
        Record::Unreadable { subject, key, .. } => match subject {
            RecordSubject::Table => RecordKey::Table,
            RecordSubject::Backend(name) => RecordKey::Backend(name.clone()),
            RecordSubject::Other => RecordKey::Other(key.clone()),
        },
    }
}
