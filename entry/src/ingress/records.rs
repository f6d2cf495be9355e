use {
    super::{shared::Shared, unreadable_records::UnreadableRecords, zone_source::ZoneSource},
    chalkcart_coordination::dispatch::DispatchEvent,
    chalkcart_state::{
        backends::{Backend, BackendName},
        ids::ZoneName,
        ingress::RouteTable,
        published::{Record, RecordSubject, Snapshot, Topic},
    },
    chalkcart_transport::{
        clock,
        metadata::{RecordSink, WatchUpdate},
    },
    std::{
        collections::{BTreeMap, HashSet},
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Delay after a list change from a relay, which costs no store call, only processing time.
const RELAYED_LIST_DELAY: Duration = Duration::from_millis(150);

/// Time between reports of the listed weights to the dispatcher, unless another change is reported
/// earlier. They are used only for engines without a reporting sidecar.
const WEIGHTS_INTERVAL: Duration = Duration::from_secs(2);

/// Applies the records of the platform's store to an entry.
pub struct EntryRecords {
    shared: Arc<Shared>,
    source: Arc<ZoneSource>,
    list: Mutex<BackendList>,
    /// Zones whose back ends must not get requests.
    evacuated: Mutex<HashSet<ZoneName>>,
    unreadable: UnreadableRecords,
}

/// The listed back ends.
#[derive(Default)]
struct BackendList {
    backends: BTreeMap<BackendName, Backend>,
    /// When the list was last reported to the dispatcher.
    reported_at: Option<Instant>,
    has_unreported_changes: bool,
}

impl BackendList {
    /// Applies a record; returns whether the change must be reported at once.
    fn apply(&mut self, record: Record) -> bool {
        match record {
            Record::Backend(backend) => {
                let known = self
                    .backends
                    .insert(backend.id.name.clone(), backend.clone());
                known.is_none_or(|known| known.differs_beyond_weights(&backend))
            }
            Record::BackendGone(name) => self.backends.remove(&name).is_some(),
            other => {
                log_unexpected(&other);
                false
            }
        }
    }

    /// Marks a back end with an undecodable record as leaving: it gets no new requests, while
    /// running ones continue. Returns whether the change must be reported at once.
    fn set_unreadable(&mut self, name: &BackendName, before: Option<&Backend>) -> bool {
        if let Some(before) = before {
            self.backends.insert(name.clone(), before.clone());
        }
        let Some(backend) = self.backends.get_mut(name) else {
            return false;
        };
        let was_used = !backend.leaving;
        backend.leaving = true;
        was_used
    }

    fn is_due(&self) -> bool {
        let reported_at = self.reported_at;
        self.has_unreported_changes
            && reported_at.is_none_or(|at| clock::elapsed(at) >= WEIGHTS_INTERVAL)
    }
}

impl EntryRecords {
    pub fn new(shared: Arc<Shared>, source: Arc<ZoneSource>) -> Self {
        Self {
            unreadable: UnreadableRecords::default(),
            shared,
            source,
            list: Mutex::default(),
            evacuated: Mutex::default(),
        }
    }

    fn apply_backends(&self, snapshot: Snapshot, is_full: bool) {
        // No holder panics in the middle of an update.
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let before = match is_full {
            true => std::mem::take(&mut list.backends),
            false => BTreeMap::new(),
        };
        let mut is_urgent = is_full;
        for record in snapshot.records {
            self.unreadable
                .record_if_unreadable(&record, &self.shared.metrics);
            is_urgent |= match &record {
                Record::Unreadable {
                    subject: RecordSubject::Backend(name),
                    ..
                } => list.set_unreadable(name, before.get(name)),
                _ => list.apply(record),
            };
            list.has_unreported_changes = true;
        }
        if !is_urgent && !list.is_due() {
            return;
        }
        list.has_unreported_changes = false;
        list.reported_at = Some(clock::now());
        let backends = list.backends.values().cloned().collect();
        self.shared.set_has_backend_list();
        let at = snapshot.at;
        self.shared.metrics.on_list(at);
        self.shared
            .control
            .send_event(DispatchEvent::ListUpdated { at, list: backends });
    }

    fn apply_configuration(&self, record: Record) {
        self.unreadable
            .record_if_unreadable(&record, &self.shared.metrics);
        match record {
            Record::Table(table) => {
                self.shared.admission.lease().on_configuration(true);
                self.apply_table(*table);
            }
            Record::AdapterVersion { adapter, version } => {
                let event = DispatchEvent::VersionAnnounced { adapter, version };
                self.shared.control.send_event(event);
            }
            Record::Zone { .. } => {}
            Record::Unreadable {
                subject: RecordSubject::Table,
                ..
            } => self.shared.admission.lease().on_configuration(false),
            // Counted above.
            Record::Unreadable { .. } => {}
            other => log_unexpected(&other),
        }
    }

    /// Updates the evacuated zones from all records of the topic if `is_full`, else from the
    /// changed ones.
    fn apply_zones(&self, records: &[Record], is_full: bool) {
        // No holder panics in the middle of an update.
        let known = self.evacuated.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        let before = known.clone();
        if is_full {
            known.clear();
        }
        for record in records {
            match record {
                Record::Zone {
                    zone,
                    is_evacuated: true,
                } => known.insert(zone.clone()),
                Record::Zone { zone, .. } => known.remove(zone),
                _ => false,
            };
        }
        if *known == before {
            return;
        }
        let zones: Vec<&str> = known.iter().map(String::as_str).collect();
        log::info!(zones = zones.join(",").as_str(); "store: evacuated zones changed");
        let zones = known.clone();
        self.shared
            .control
            .send_event(DispatchEvent::ZonesEvacuated(zones));
    }

    /// Activates a configuration unless a later generation is active already.
    fn apply_table(&self, table: RouteTable) {
        let known = self.shared.table.load_full();
        if known.is_some_and(|known| known.generation >= table.generation) {
            return;
        }
        log::info!(
            at:% = self.shared.configuration_position();
            "store: configuration {} in force, {} routes",
            table.generation,
            table.route_count()
        );
        self.shared.metrics.on_configuration(table.generation);
        if let Some(accounts) = &table.accounts {
            let accounts = accounts.accounts().map(Arc::as_ref);
            let mut limits = self.shared.admission.limits();
            let changed = limits.set_accounts(accounts, clock::now());
            drop(limits);
            changed.iter().for_each(|change| {
                log::info!(
                    account = change.account.as_str(),
                    granted_per_s = change.bounds.granted_per_s,
                    steady_per_s = change.bounds.steady_per_s,
                    at_once = change.bounds.burst,
                    in_window = change.bounds.per_window;
                    "limits: limit changed"
                );
            });
        }
        let table = Arc::new(table);
        self.shared.set_configuration(table.clone());
        self.shared
            .control
            .send_event(DispatchEvent::ConfigUpdated(table));
    }
}

impl RecordSink for EntryRecords {
    fn apply(&self, topic: Topic, update: WatchUpdate, is_full: bool) {
        match topic {
            Topic::Backends => self.apply_backends(update.snapshot, is_full),
            Topic::Configuration => {
                self.shared.set_configuration_position(update.snapshot.at);
                self.apply_zones(&update.snapshot.records, is_full);
                let records = update.snapshot.records.into_iter();
                records.for_each(|record| self.apply_configuration(record));
                self.shared.admission.lease().on_current(update.current_at);
            }
        }
    }

    fn pause_after_change(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Configuration => Duration::ZERO,
            Topic::Backends if self.source.is_relayed() => RELAYED_LIST_DELAY,
            Topic::Backends => {
                let entries = self.shared.control.entry_count();
                self.shared.list_pacing().pause(entries)
            }
        }
    }
}

/// Logs a record that does not belong to its topic, as a relay of another version might send.
fn log_unexpected(record: &Record) {
    log::error!("store: unexpected record for this topic: {record:?}");
}
