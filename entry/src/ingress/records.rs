use {
    super::{shared::Shared, unreadable_records::UnreadableRecords, zone_source::ZoneSource},
    chalkcart_coordination::{
        dispatch::DispatchEvent,
        published::{EvacuatedZones, ListUpdate, ListedBackends},
    },
    chalkcart_state::{
        ingress::RouteTable,
        published::{Record, RecordSubject, Snapshot, Topic},
    },
    chalkcart_transport::{
        clock,
        metadata::{RecordSink, WatchUpdate},
    },
    std::{
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex, PoisonError,
        },
        time::Duration,
    },
};

/// Delay after a list change from a relay, which costs no store call, only processing time.
const RELAYED_LIST_DELAY: Duration = Duration::from_millis(150);

/// Applies the records of the platform's store to an entry.
pub struct EntryRecords {
    shared: Arc<Shared>,
    source: Arc<ZoneSource>,
    list: Mutex<ListedBackends>,
    evacuated: Mutex<EvacuatedZones>,
    unreadable: UnreadableRecords,
    /// Whether the last read of the list failed.
    is_list_away: AtomicBool,
    /// Whether the configuration was read.
    has_configuration: AtomicBool,
}

impl EntryRecords {
    pub fn new(shared: Arc<Shared>, source: Arc<ZoneSource>) -> Self {
        let list = ListedBackends::new(shared.settings.heartbeat());
        Self {
            unreadable: UnreadableRecords::default(),
            shared,
            source,
            list: Mutex::new(list),
            evacuated: Mutex::default(),
            is_list_away: AtomicBool::new(false),
            has_configuration: AtomicBool::new(false),
        }
    }

    /// Tells the dispatcher when the list can be read again, or no longer.
    fn set_list_away(&self, is_away: bool) {
        if self.is_list_away.swap(is_away, Ordering::Relaxed) != is_away {
            let is_available = !is_away;
            self.shared
                .control
                .send_event(DispatchEvent::ListSourceChanged { is_available });
        }
    }

    fn apply_backends(&self, snapshot: Snapshot, is_full: bool) {
        for record in &snapshot.records {
            self.unreadable
                .record_if_unreadable(record, &self.shared.metrics);
            log_unless_backend(record);
        }
        // No holder panics in the middle of an update.
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(ListUpdate { at, list }) = list.apply(snapshot, is_full, clock::now()) else {
            return;
        };
        self.shared.set_has_backend_list();
        self.shared.metrics.on_list(at);
        self.shared.software_versions.on_list(&list);
        self.shared
            .control
            .send_event(DispatchEvent::ListUpdated { at, list });
    }

    fn apply_configuration(&self, record: Record, is_first_read: bool) {
        self.unreadable
            .record_if_unreadable(&record, &self.shared.metrics);
        match record {
            Record::Table(table) => {
                self.shared.admission.lease().on_configuration(true);
                self.apply_table(*table);
            }
            Record::AdapterVersion { adapter, version } => {
                let event = match is_first_read {
                    true => DispatchEvent::VersionFound { adapter, version },
                    false => DispatchEvent::VersionAnnounced { adapter, version },
                };
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

    fn apply_zones(&self, snapshot: &Snapshot, is_full: bool) {
        // No holder panics in the middle of an update.
        let known = self.evacuated.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        let Some(zones) = known.apply(snapshot, is_full, clock::now()) else {
            return;
        };
        let names: Vec<&str> = zones.iter().map(String::as_str).collect();
        log::info!(zones = names.join(",").as_str(); "store: evacuated zones changed");
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
        self.shared.software_versions.on_configuration(&table);
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
            Topic::Backends => {
                self.set_list_away(false);
                let versions = &self.shared.software_versions;
                versions.on_update(&update.snapshot.records, is_full);
                versions.on_current(update.current_at);
                self.apply_backends(update.snapshot, is_full);
            }
            Topic::Configuration => {
                self.shared.set_configuration_position(update.snapshot.at);
                self.apply_zones(&update.snapshot, is_full);
                let is_first_read = !self.has_configuration.swap(true, Ordering::Relaxed);
                let records = update.snapshot.records.into_iter();
                records.for_each(|record| self.apply_configuration(record, is_first_read));
                self.shared.admission.lease().on_current(update.current_at);
            }
        }
    }

    fn on_read_failed(&self, topic: Topic) {
        if topic == Topic::Backends {
            self.set_list_away(true);
        }
    }

    fn on_new_era(&self, topic: Topic, jitter: f64) -> Duration {
        match topic {
            Topic::Backends if !self.source.has_relays() => {
                let backends = self
                    .list
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .len();
                let entries = self.shared.control.entry_count();
                let pacing = self.shared.list_pacing();
                pacing.pause_after_restore(entries, backends, jitter)
            }
            // The configuration is one read, and a relay reads the list for the entries of its zone.
            Topic::Configuration | Topic::Backends => Duration::ZERO,
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

fn log_unless_backend(record: &Record) {
    let is_expected = matches!(
        record,
        Record::Backend(_)
            | Record::BackendGone(_)
            | Record::Unreadable {
                subject: RecordSubject::Backend(_),
                ..
            }
    );
    if !is_expected {
        log_unexpected(record);
    }
}

/// Logs a record that does not belong to its topic, as a relay of another version might send.
fn log_unexpected(record: &Record) {
    log::error!("store: unexpected record for this topic: {record:?}");
}
