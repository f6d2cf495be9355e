use {
    super::{AdapterVersions, BackendState, DispatchSettings},
    chalkcart_protocol::peer::{
        AdapterDemand, AdapterUse, EngineCapacity, ModelSize, WantedAdapter,
    },
    chalkcart_state::{
        backends::{AdapterRef, HeldAdapter},
        ingress::{EngineSpec, Service},
    },
};

/// write what this entry needs of one engine, and begin its next count of
/// adapters that were used
pub fn build_demand(
    settings: &DispatchSettings,
    list_version: u64,
    service: &Service,
    spec: &EngineSpec,
    state: &mut BackendState,
    wanted: Vec<WantedAdapter>,
    versions: &AdapterVersions,
) -> AdapterDemand {
    let mut used: Vec<AdapterUse> = state
        .used
        .drain()
        .map(|a| (a, 0))
        .map(adapter_use)
        .collect();
    used.retain(|u| !state.running_on.contains_key(&u.adapter));
    let running = state.running_on.iter().map(|(a, n)| (a.clone(), *n));
    used.extend(running.map(adapter_use));
    used.sort_by(|a, b| a.adapter.cmp(&b.adapter));
    AdapterDemand {
        entry: settings.entry.clone(),
        entries: 1,
        backend: state.listed.id.clone(),
        list_version,
        fence_seen: 0,
        health_path: service.health_path.clone(),
        room: room(spec),
        wanted,
        used,
        outdated: outdated(state, versions),
    }
}

fn adapter_use((adapter, in_flight): (AdapterRef, u32)) -> AdapterUse {
    AdapterUse { adapter, in_flight }
}

fn room(spec: &EngineSpec) -> EngineCapacity {
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

/// held adapters with a newer version, in that version
fn outdated(state: &BackendState, versions: &AdapterVersions) -> Vec<HeldAdapter> {
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
