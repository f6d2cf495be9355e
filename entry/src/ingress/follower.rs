use {
    super::shared::Shared,
    chalkcart_coordination::{dispatch::DispatchEvent, retry::Backoff},
    chalkcart_state::{
        backends::{Backend, BackendId},
        ingress::RouteTable,
    },
    chalkcart_transport::metadata::{
        MetadataSource, Record, Snapshot, SourceError, Topic, Watched,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// how long one watch waits; a watch that was cut silently costs this time
const WATCH_WAIT: Duration = Duration::from_millis(2_500);

/// follows one topic of the platform's store
pub struct Follower {
    shared: Arc<Shared>,
    source: Arc<dyn MetadataSource>,
    topic: Topic,
    /// revision up to which changes are known, none if a snapshot is needed
    known: Option<u64>,
    backends: BTreeMap<BackendId, Backend>,
}

impl Follower {
    pub fn new(shared: Arc<Shared>, source: Arc<dyn MetadataSource>, topic: Topic) -> Self {
        Self {
            shared,
            source,
            topic,
            known: None,
            backends: BTreeMap::new(),
        }
    }

    /// follow the topic until the process ends
    pub async fn run(mut self) {
        let backoff = Backoff::default();
        let mut failures = 0;
        loop {
            match self.step().await {
                Ok(()) if failures > 0 => {
                    log::info!("store: {:?} read again", self.topic);
                    failures = 0;
                }
                Ok(()) => {}
                Err(e) => {
                    if failures == 0 {
                        log::warn!("store: {:?} not read: {e}", self.topic);
                    }
                    failures += 1;
                    sleep(backoff.pause(failures, 0.5 + rand::random::<f64>() / 2.0)).await;
                }
            }
        }
    }

    async fn step(&mut self) -> Result<(), SourceError> {
        let Some(after) = self.known else {
            let snapshot = self.source.snapshot(self.topic).await?;
            self.backends.clear();
            self.take_in(snapshot);
            return Ok(());
        };
        match self.source.watch(self.topic, after, WATCH_WAIT).await? {
            Watched::Records(heard) if heard.at < after => {
                // an answer of an earlier state says nothing new
                self.known = None;
            }
            Watched::Records(heard) => {
                let has_news = !heard.records.is_empty();
                self.take_in(heard);
                if has_news && self.topic == Topic::Backends {
                    let entries = self.shared.control.entries();
                    sleep(self.shared.list_pacing().pause(entries)).await;
                }
            }
            Watched::HistoryLost => {
                log::warn!("store: history of {:?} lost after {after}", self.topic);
                self.known = None;
            }
        }
        Ok(())
    }

    fn take_in(&mut self, heard: Snapshot) {
        let has_changed = !heard.records.is_empty() || self.known.is_none();
        self.known = Some(heard.at);
        for record in heard.records {
            self.take_record(record);
        }
        if has_changed && self.topic == Topic::Backends {
            let list = self.backends.values().cloned().collect();
            self.shared.set_knows_backends();
            self.shared.metrics.on_list(heard.at);
            let version = heard.at;
            self.shared
                .control
                .tell(DispatchEvent::Listed { version, list });
        }
    }

    fn take_record(&mut self, record: Record) {
        match record {
            Record::Table(table) => self.take_table(*table),
            Record::AdapterVersion { adapter, version } => {
                let event = DispatchEvent::Versioned { adapter, version };
                self.shared.control.tell(event);
            }
            Record::Backend(backend) => {
                self.backends.insert(backend.id.clone(), backend);
            }
            Record::BackendGone(id) => {
                self.backends.remove(&id);
            }
            Record::Unreadable { key, problem } => {
                log::error!("store: {key} can't be read: {problem}");
            }
        }
    }

    /// a configuration never goes back to an earlier version
    fn take_table(&mut self, table: RouteTable) {
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
        let table = Arc::new(table);
        self.shared.table.store(Some(table.clone()));
        self.shared.control.tell(DispatchEvent::Configured(table));
    }
}
