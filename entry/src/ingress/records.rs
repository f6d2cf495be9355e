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

/// pause after a change of the list that a relay told: news cost no call of the
/// store, only the time to take them in
const PAUSE_BY_RELAY: Duration = Duration::from_millis(150);

/// what engines hold, as listed, is of use only where no sidecar speaks: it is
/// told to the dispatcher this often, or with a change that matters at once
const HOLDINGS_EVERY: Duration = Duration::from_secs(2);

/// takes in what is published, for an entry
pub struct EntryRecords {
    shared: Arc<Shared>,
    source: Arc<ZoneSource>,
    list: Mutex<List>,
    /// zones whose back ends are to be sent nothing
    evacuated: Mutex<HashSet<ZoneName>>,
    unreadable: UnreadableRecords,
}

/// the list of back ends
#[derive(Default)]
struct List {
    backends: BTreeMap<BackendName, Backend>,
    /// when the dispatcher was told
    told: Option<Instant>,
    /// it was not told of the newest holdings
    is_untold: bool,
}

impl List {
    /// take in a record; says whether the dispatcher should hear of it at once
    fn take_in(&mut self, record: Record) -> bool {
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

    /// A record that can't be read names no back end to use, also where it did before;
    /// what runs there goes on.
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
        let told = self.told;
        self.is_untold && told.is_none_or(|at| clock::elapsed(at) >= HOLDINGS_EVERY)
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

    fn take_backends(&self, heard: Snapshot, is_whole: bool) {
        // no holder panics halfway through a change
        let mut list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        let before = match is_whole {
            true => std::mem::take(&mut list.backends),
            false => BTreeMap::new(),
        };
        let mut is_urgent = is_whole;
        for record in heard.records {
            self.unreadable
                .record_if_unreadable(&record, &self.shared.metrics);
            is_urgent |= match &record {
                Record::Unreadable {
                    subject: RecordSubject::Backend(name),
                    ..
                } => list.set_unreadable(name, before.get(name)),
                _ => list.take_in(record),
            };
            list.is_untold = true;
        }
        if !is_urgent && !list.is_due() {
            return;
        }
        list.is_untold = false;
        list.told = Some(clock::now());
        let told = list.backends.values().cloned().collect();
        self.shared.set_has_backend_list();
        self.shared.metrics.on_list(heard.at);
        let version = heard.at;
        self.shared.control.send_event(DispatchEvent::ListUpdated {
            version,
            list: told,
        });
    }

    fn take_configuration(&self, record: Record) {
        self.unreadable
            .record_if_unreadable(&record, &self.shared.metrics);
        match record {
            Record::Table(table) => {
                self.shared.admission.lease().on_configuration(true);
                self.take_table(*table);
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
            // counted above
            Record::Unreadable { .. } => {}
            other => log_unexpected(&other),
        }
    }

    /// what is known of zones, from all records of the topic or those that have changed
    fn take_zones(&self, records: &[Record], is_whole: bool) {
        // no holder panics halfway through a change
        let known = self.evacuated.lock();
        let mut known = known.unwrap_or_else(PoisonError::into_inner);
        let before = known.clone();
        if is_whole {
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
        log::info!(zones = zones.join(",").as_str(); "store: zones to be emptied");
        let zones = known.clone();
        self.shared
            .control
            .send_event(DispatchEvent::ZonesEvacuated(zones));
    }

    /// a configuration never goes back to an earlier version
    fn take_table(&self, table: RouteTable) {
        let known = self.shared.table.load_full();
        if known.is_some_and(|known| known.generation >= table.generation) {
            return;
        }
        log::info!(
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
                    "limits: in force"
                );
            });
        }
        let table = Arc::new(table);
        self.shared.table.store(Some(table.clone()));
        self.shared
            .control
            .send_event(DispatchEvent::ConfigUpdated(table));
    }
}

impl RecordSink for EntryRecords {
    fn apply(&self, topic: Topic, heard: WatchUpdate, is_whole: bool) {
        match topic {
            Topic::Backends => self.take_backends(heard.snapshot, is_whole),
            Topic::Configuration => {
                self.take_zones(&heard.snapshot.records, is_whole);
                let records = heard.snapshot.records.into_iter();
                records.for_each(|record| self.take_configuration(record));
                self.shared.admission.lease().on_current(heard.current_at);
            }
        }
    }
    fn pause_after_change(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Configuration => Duration::ZERO,
            Topic::Backends if self.source.is_relayed() => PAUSE_BY_RELAY,
            Topic::Backends => {
                let entries = self.shared.control.entry_count();
                self.shared.list_pacing().pause(entries)
            }
        }
    }
}

/// a record that does not belong to its topic, as a relay of another form might tell
fn log_unexpected(record: &Record) {
    log::error!("store: not of this topic: {record:?}");
}
