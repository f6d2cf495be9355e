use {
    chalkcart_protocol::peer::PublishedResponse,
    chalkcart_state::{
        backends::{AdapterRef, BackendName},
        ids::ZoneName,
        published::{Record, RecordSubject, Snapshot},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// back ends that are gone and remembered, so that entries hear of them
const MOST_GONE: usize = 2_000;

/// what a record speaks of; a later one replaces it
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Table,
    Version(AdapterRef),
    Backend(BackendName),
    Zone(ZoneName),
    Other(String),
}

/// One topic of the platform's store, as a relay has heard it. Revisions are the
/// store's, so that an entry may go from one relay to another, or to the store.
#[derive(Debug)]
pub struct PublishedBook {
    /// a relay that has not heard the store for longer does not speak for it
    stale_after: Duration,
    records: BTreeMap<Subject, (u64, Record)>,
    /// revision up to which all is known
    at: u64,
    heard: Option<Instant>,
    /// when the store knew nothing newer
    current_at: Option<Instant>,
    /// changes up to this revision may be forgotten
    forgotten_to: u64,
}

impl PublishedBook {
    pub fn new(stale_after: Duration) -> Self {
        Self {
            stale_after,
            records: BTreeMap::new(),
            at: 0,
            heard: None,
            current_at: None,
            forgotten_to: 0,
        }
    }

    /// take in all records of the topic, or those that have changed; the store knew
    /// nothing newer at `current_at`
    pub fn take_in(&mut self, heard: Snapshot, is_whole: bool, current_at: Instant, now: Instant) {
        if heard.at < self.at {
            // an answer of an earlier state says nothing
            return;
        }
        self.heard = Some(now);
        self.current_at = self.current_at.max(Some(current_at));
        if is_whole {
            self.note_missing(&heard);
            // What came and went before it is not known here: an entry that knows the
            // topic up to an earlier revision must hear all of it.
            self.forgotten_to = heard.at;
        }
        self.at = heard.at;
        for record in heard.records {
            let subject = subject(&record);
            // What a watch tells is news for who knows the topic up to the revision
            // before, also where a later page of a whole had it already: pages are no
            // snapshot, and the whole counts as of its first.
            let known = self.records.get(&subject);
            if !is_whole || known.is_none_or(|(_, known)| *known != record) {
                self.records.insert(subject, (heard.at, record));
            }
        }
        self.forget_gone();
    }

    /// whether the store has answered at all
    pub fn has_heard(&self) -> bool {
        self.heard.is_some()
    }

    /// the answer to an entry that knows the topic up to `after` and asked at
    /// `asked`; none if there is nothing newer
    pub fn answer(
        &self,
        after: Option<u64>,
        asked: Instant,
        now: Instant,
    ) -> Option<PublishedResponse> {
        let age = self.heard.map(|at| now.saturating_duration_since(at));
        if age.is_none_or(|age| age > self.stale_after) {
            return Some(PublishedResponse::Stale);
        }
        let Some(after) = after else {
            let is_there = |record: &&Record| !matches!(record, Record::BackendGone(_));
            let records = self.records.values().map(|(_, record)| record);
            return Some(self.records(records.filter(is_there).cloned().collect(), asked));
        };
        if after < self.forgotten_to {
            return Some(PublishedResponse::HistoryLost);
        }
        let newer = self.records.values().filter(|(at, _)| *at > after);
        let newer: Vec<Record> = newer.map(|(_, record)| record.clone()).collect();
        (!newer.is_empty()).then(|| self.records(newer, asked))
    }

    /// the answer to an entry that has waited long enough for something newer
    pub fn nothing_newer(&self, after: Option<u64>, asked: Instant) -> PublishedResponse {
        let at = self.at.max(after.unwrap_or(0));
        let records = Vec::new();
        self.answer_with(Snapshot { records, at }, asked)
    }

    fn records(&self, records: Vec<Record>, asked: Instant) -> PublishedResponse {
        let at = self.at;
        self.answer_with(Snapshot { records, at }, asked)
    }

    fn answer_with(&self, snapshot: Snapshot, asked: Instant) -> PublishedResponse {
        let current_ms = match self.current_at {
            Some(at) if at >= asked => at.duration_since(asked).as_millis() as i64,
            Some(at) => -(asked.duration_since(at).as_millis() as i64) - 1,
            None => return PublishedResponse::Stale,
        };
        PublishedResponse::Records {
            snapshot,
            current_ms,
        }
    }

    /// back ends that are not in the whole are gone, and zones are evacuated no more
    fn note_missing(&mut self, whole: &Snapshot) {
        let listed: Vec<Subject> = whole.records.iter().map(subject).collect();
        for (subject, (at, record)) in &mut self.records {
            if listed.contains(subject) {
                continue;
            }
            match record {
                Record::Backend(backend) => {
                    *record = Record::BackendGone(backend.id.name.clone());
                    *at = whole.at;
                }
                Record::Zone { is_evacuated, .. } if *is_evacuated => {
                    *is_evacuated = false;
                    *at = whole.at;
                }
                _ => {}
            }
        }
    }

    fn forget_gone(&mut self) {
        let gone = self.records.values();
        let gone = gone.filter(|(_, record)| matches!(record, Record::BackendGone(_)));
        let mut gone_at: Vec<u64> = gone.map(|(at, _)| *at).collect();
        if gone_at.len() <= MOST_GONE {
            return;
        }
        gone_at.sort_unstable();
        let bound = gone_at[gone_at.len() / 2];
        self.forgotten_to = bound;
        let is_kept =
            |(at, record): &(u64, Record)| !matches!(record, Record::BackendGone(_)) || *at > bound;
        self.records.retain(|_, row| is_kept(row));
    }
}

fn subject(record: &Record) -> Subject {
    match record {
        Record::Table(_) => Subject::Table,
        Record::AdapterVersion { adapter, .. } => Subject::Version(adapter.clone()),
        Record::Backend(backend) => Subject::Backend(backend.id.name.clone()),
        Record::BackendGone(id) => Subject::Backend(id.clone()),
        Record::Zone { zone, .. } => Subject::Zone(zone.clone()),
        // an entry must hear of it in the place of what it knows
        Record::Unreadable { subject, key, .. } => match subject {
            RecordSubject::Table => Subject::Table,
            RecordSubject::Backend(name) => Subject::Backend(name.clone()),
            RecordSubject::Other => Subject::Other(key.clone()),
        },
    }
}
