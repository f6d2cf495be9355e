use {
    super::holds::{Holds, RESTORED_HOLD},
    chalkcart_state::{
        backends::{Backend, BackendId, BackendList, BackendName},
        published::{Record, RecordSubject, Snapshot, StorePosition},
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::{Duration, Instant},
    },
};

/// Heartbeats for which a back end that was gone is treated as leaving if a restored store lists it.
/// The store drops its record after three that are missing.
const GONE_HOLD_HEARTBEATS: u32 = 5;
/// Time between reports of the listed weights, unless another change is reported earlier. They are
/// used only for engines without a reporting sidecar.
const WEIGHTS_INTERVAL: Duration = Duration::from_secs(2);

/// The list of back ends to use from now on.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// The position of the store at which it was read.
    pub at: StorePosition,
    pub list: BackendList,
}

/// The back ends that the store lists.
///
/// A restored store may list a back end as ready that was leaving or gone before. Such a back end is
/// treated as leaving for a while.
#[derive(Debug)]
pub struct ListedBackends {
    /// How often back ends write their records.
    heartbeat: Duration,
    at: StorePosition,
    /// The back ends as their last readable records describe them.
    backends: BTreeMap<BackendName, Backend>,
    /// Back ends whose records can't be read. They get no new requests, while running ones continue.
    unreadable: HashSet<BackendName>,
    /// When back ends left the list.
    gone: HashMap<BackendId, Instant>,
    /// Back ends that were leaving in an earlier era.
    held_leaving: Holds<BackendId>,
    /// Back ends that were gone in an earlier era.
    held_gone: Holds<BackendId>,
    reported_at: Option<Instant>,
    has_unreported_changes: bool,
}

impl ListedBackends {
    /// Creates an empty list of back ends that write their records at intervals of `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            heartbeat,
            at: StorePosition::default(),
            backends: BTreeMap::new(),
            unreadable: HashSet::new(),
            gone: HashMap::new(),
            held_leaving: Holds::default(),
            held_gone: Holds::default(),
            reported_at: None,
            has_unreported_changes: false,
        }
    }

    /// Applies all records of the list if `is_full`, else the changed ones. Returns the list if it
    /// must be used at once, or if its changes have waited long enough.
    pub fn apply(&mut self, snapshot: Snapshot, is_full: bool, now: Instant) -> Option<ListUpdate> {
        let is_new_era = snapshot.at.era > self.at.era;
        self.at = snapshot.at;
        let mut is_urgent = is_full;
        let mut before = BTreeMap::new();
        if is_full {
            before = std::mem::take(&mut self.backends);
            self.unreadable.clear();
        }
        for record in snapshot.records {
            is_urgent |= match record {
                Record::Backend(backend) => self.insert(backend, is_full),
                Record::BackendGone(name) => self.remove(&name, now),
                Record::Unreadable {
                    subject: RecordSubject::Backend(name),
                    ..
                } => self.set_unreadable(name, &before),
                _ => continue,
            };
            self.has_unreported_changes = true;
        }
        match is_new_era {
            true => self.hold_former(&before, now),
            false => self.record_missing(before, now),
        }
        is_urgent |= self.expire(now);
        (is_urgent || self.is_due(now)).then(|| self.report(now))
    }

    pub fn len(&self) -> usize {
        self.backends.len()
    }
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Adds or replaces a back end; returns whether the change must be used at once.
    fn insert(&mut self, backend: Backend, is_full: bool) -> bool {
        let was_held = !is_full && self.release(&backend);
        let was_unreadable = self.unreadable.remove(&backend.id.name);
        let known = self
            .backends
            .insert(backend.id.name.clone(), backend.clone());
        let is_changed = known.is_none_or(|known| known.differs_beyond_weights(&backend));
        was_held || was_unreadable || is_changed
    }

    /// Ends the holds that a record written in this era outweighs; returns whether there were any.
    ///
    /// The record of a back end that is gone proves that it runs. A ready record of one that was
    /// leaving may be the repetition of an earlier one.
    fn release(&mut self, written: &Backend) -> bool {
        let id = &written.id;
        self.gone.remove(id);
        let was_held = written.leaving && self.held_leaving.release(id);
        self.held_gone.release(id) || was_held
    }

    fn remove(&mut self, name: &BackendName, now: Instant) -> bool {
        let Some(backend) = self.backends.remove(name) else {
            return false;
        };
        self.unreadable.remove(name);
        self.gone.insert(backend.id, now);
        true
    }

    /// Keeps a back end whose record can't be read as it was last described, if it is known. Returns
    /// whether the change must be used at once. `before` is the list that a full one replaces.
    fn set_unreadable(
        &mut self,
        name: BackendName,
        before: &BTreeMap<BackendName, Backend>,
    ) -> bool {
        if let Some(before) = before.get(&name) {
            self.backends.insert(name.clone(), before.clone());
        }
        self.backends.contains_key(&name) && self.unreadable.insert(name)
    }

    /// Records which back ends of an earlier list of the same era are missing in a full list.
    fn record_missing(&mut self, before: BTreeMap<BackendName, Backend>, now: Instant) {
        for (name, backend) in before {
            let listed = self.backends.get(&name);
            if listed.is_none_or(|listed| listed.id != backend.id) {
                self.gone.insert(backend.id, now);
            }
        }
    }

    /// Keeps back ends that were leaving or gone from being used because a restored store lists
    /// them as ready.
    fn hold_former(&mut self, before: &BTreeMap<BackendName, Backend>, now: Instant) {
        for backend in before.values().filter(|backend| backend.leaving) {
            let until = now + RESTORED_HOLD;
            self.held_leaving.hold(backend.id.clone(), until);
        }
        for id in self.gone.keys() {
            let until = now + self.heartbeat * GONE_HOLD_HEARTBEATS;
            self.held_gone.hold(id.clone(), until);
        }
    }

    /// Drops what is too old; returns whether a listed back end may be used again.
    fn expire(&mut self, now: Instant) -> bool {
        self.gone
            .retain(|_, gone_at| now.saturating_duration_since(*gone_at) < RESTORED_HOLD);
        // Both are to be expired.
        self.held_leaving.expire(now) | self.held_gone.expire(now)
    }

    fn is_due(&self, now: Instant) -> bool {
        let is_over = |at| now.saturating_duration_since(at) >= WEIGHTS_INTERVAL;
        self.has_unreported_changes && self.reported_at.is_none_or(is_over)
    }

    fn report(&mut self, now: Instant) -> ListUpdate {
        self.has_unreported_changes = false;
        self.reported_at = Some(now);
        let backends = self.backends.values().map(|backend| Backend {
            leaving: self.is_excluded(backend),
            ..backend.clone()
        });
        ListUpdate {
            at: self.at,
            list: backends.collect(),
        }
    }

    /// Returns whether a back end must get no new requests.
    fn is_excluded(&self, backend: &Backend) -> bool {
        let id = &backend.id;
        let is_held = self.held_leaving.contains(id) || self.held_gone.contains(id);
        backend.leaving || is_held || self.unreadable.contains(&id.name)
    }
}
