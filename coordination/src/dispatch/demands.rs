use {
    super::{AdapterVersions, BackendState, DispatchSettings},
    chalkcart_protocol::peer::{
        AdapterDemand, AdapterUse, EngineCapacity, KnownEntries, ModelSize, WantedAdapter,
    },
    chalkcart_state::{
        backends::{AdapterRef, HeldAdapter},
        ingress::{EngineSpec, Service},
        published::StorePosition,
    },
};

/// Builds the demand of this entry for one engine, and resets its set of used adapters.
pub fn build_demand(
    settings: &DispatchSettings,
    list: StorePosition,
    service: &Service,
    spec: &EngineSpec,
    state: &mut BackendState,
    wanted: Vec<WantedAdapter>,
    versions: &AdapterVersions,
) -> AdapterDemand {
    let mut used: Vec<AdapterUse> = state
        .used_adapters
        .drain()
        .map(|a| (a, 0))
        .map(adapter_use)
        .collect();
    used.retain(|u| !state.running_by_adapter.contains_key(&u.adapter));
    let running = state
        .running_by_adapter
        .iter()
        .map(|(a, n)| (a.clone(), *n));
    used.extend(running.map(adapter_use));
    used.sort_by(|a, b| a.adapter.cmp(&b.adapter));
    AdapterDemand {
        entry: settings.entry.clone(),
        entries: 1,
        backend: state.listed.id.clone(),
        list_version: list.revision,
        fence_seen: 0,
        health_path: service.health_path.clone(),
        room: engine_capacity(spec),
        wanted,
        used,
        outdated: outdated_adapters(state, versions),
        list_era: list.era,
        known_entries: KnownEntries::default(),
    }
}

fn adapter_use((adapter, in_flight): (AdapterRef, u32)) -> AdapterUse {
    AdapterUse { adapter, in_flight }
}

fn engine_capacity(spec: &EngineSpec) -> EngineCapacity {
    let models = spec.models.iter().map(|m| ModelSize {
        model: m.name.clone(),
        weights_mb: m.weights_mb,
        adapter_mb: m.adapter_mb,
        reload_ms: m.reload_time.as_millis() as u32,
    });
    EngineCapacity {
        adapter_slots: spec.adapter_slots,
        weights_mb: spec.weights_mb,
        models: models.collect(),
    }
}

/// Returns the newest versions of held adapters that are outdated.
fn outdated_adapters(state: &BackendState, versions: &AdapterVersions) -> Vec<HeldAdapter> {
    let held = state.view.iter().flat_map(|v| &v.held);
    let newer = held.filter_map(|h| {
        let version = versions.newest(&h.adapter);
        (version > h.version).then(|| HeldAdapter {
            adapter: h.adapter.clone(),
            version,
        })
    });
    newer.collect()
}
