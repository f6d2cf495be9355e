use {
    super::{shared::Shared, store_relays::StoreRelays},
    chalkcart_coordination::relay::RelayCandidate,
    chalkcart_state::{
        backends::Backend,
        ingress::RouteTable,
        published::{Record, Snapshot, StorePosition},
    },
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// How long the list waits for the configuration, which tells the services of engines.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(500);

/// Finds relays for an entry that knows none.
///
/// If each entry of a starting fleet read the whole list from the store, the store would send
/// entries x engines records at once. A part of the list names enough sidecars to reach one that
/// reads it for the zone.
pub struct RelayDiscovery {
    shared: Arc<Shared>,
    relays: Arc<StoreRelays>,
}

impl RelayDiscovery {
    pub fn new(shared: Arc<Shared>, relays: Arc<StoreRelays>) -> Self {
        Self { shared, relays }
    }

    /// Whether the settings allow relays for the store.
    pub fn is_enabled(&self) -> bool {
        let mechanisms = &self.shared.settings.mechanisms;
        mechanisms.relays && mechanisms.store_by_relay
    }

    /// Returns the position of the store at which the configuration was read.
    pub async fn configuration_position(&self) -> Option<StorePosition> {
        self.configuration().await?;
        Some(self.shared.configuration_position())
    }

    /// Makes the sidecars of the engines on an incomplete list candidates for relays. Returns
    /// whether there are enough.
    pub async fn discover(&self, page: &Snapshot) -> bool {
        let Some(table) = self.configuration().await else {
            return false;
        };
        let backends = page.records.iter().filter_map(|record| match record {
            Record::Backend(backend) if !backend.leaving => Some(backend),
            _ => None,
        });
        let engines = backends.filter(|backend| is_engine(backend, &table));
        let candidates: Vec<RelayCandidate> = engines
            .map(|backend| RelayCandidate {
                engine: backend.addr,
                zone: backend.zone.clone(),
            })
            .collect();
        log::info!(engines = candidates.len(); "store: engines found in a part of the list");
        if candidates.len() < self.shared.settings.relays_from_engines {
            return false;
        }
        self.relays.set_candidates(&candidates);
        true
    }

    async fn configuration(&self) -> Option<Arc<RouteTable>> {
        let table = timeout(CONFIGURATION_WAIT, self.shared.configuration());
        // The list can be read without it.
        table.await.ok()
    }
}

fn is_engine(backend: &Backend, table: &RouteTable) -> bool {
    let service = table.services.get(&backend.service);
    service.is_some_and(|service| service.engine.is_some())
}
