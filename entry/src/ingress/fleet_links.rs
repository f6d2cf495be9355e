use {
    super::{control::ControlHandle, store_relays::StoreRelays},
    chalkcart_coordination::relay::RelayCandidate,
    chalkcart_protocol::peer::AdapterDemand,
    chalkcart_state::ids::{BoxName, ZoneName},
    chalkcart_transport::links::{RelayLink, RelayLinkSettings, SidecarLinks},
    std::{iter, net::SocketAddr, sync::Arc, time::Instant},
    tokio::runtime::Handle,
};

/// Relays stay in use until the number of engines falls to this fraction of the threshold, which
/// avoids switching back and forth around it.
const RELAY_RELEASE_RATIO: f64 = 0.5;

/// Identity of an entry and how it reaches sidecars.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    pub entry: BoxName,
    pub zone: ZoneName,
    /// Sidecars listen on this port at the addresses of their engines.
    pub sidecar_port: u16,
    /// Number of engines from which on relays are used; `None` to never use them.
    pub relays_from_engines: Option<usize>,
    /// Receives the engines whose sidecars may read the store for this entry.
    pub store_relays: Arc<StoreRelays>,
}

/// Connects an entry to the sidecars of engines: by a direct link to each, or through one relay of
/// its zone.
pub struct FleetLinks {
    settings: LinkSettings,
    runtime: Handle,
    control: ControlHandle,
    direct: SidecarLinks,
    relay: Option<RelayLink>,
}

impl FleetLinks {
    pub fn new(settings: LinkSettings, runtime: Handle, control: ControlHandle) -> Self {
        let sink = Arc::new(control.clone());
        let direct = SidecarLinks::new(runtime.clone(), sink, settings.sidecar_port);
        Self {
            settings,
            runtime,
            control,
            direct,
            relay: None,
        }
    }

    /// Sets the engines whose sidecars are connected.
    pub fn set_engines(&mut self, engines: Vec<RelayCandidate>) {
        if !self.should_use_relay(engines.len()) {
            self.relay = None;
            self.settings.store_relays.set_candidates(&[]);
            self.direct.set_engines(engines.iter().map(|c| c.engine));
            return;
        }
        self.direct.set_engines(iter::empty());
        self.settings.store_relays.set_candidates(&engines);
        let relay = self.relay.get_or_insert_with(|| {
            let settings = relay_link_settings(&self.settings);
            RelayLink::open(&self.runtime, settings, Arc::new(self.control.clone()))
        });
        relay.set_engines(engines);
    }

    fn should_use_relay(&self, engines: usize) -> bool {
        let from = self.settings.relays_from_engines;
        from.is_some_and(|from| match &self.relay {
            Some(_) => engines as f64 > from as f64 * RELAY_RELEASE_RATIO,
            None => engines >= from,
        })
    }

    /// Sends the adapter demand of an engine to its sidecar.
    pub fn send_demand(&mut self, engine: SocketAddr, demand: AdapterDemand, now: Instant) {
        match &mut self.relay {
            Some(relay) => relay.send_demand(engine, demand),
            None => self.direct.send_demand(engine, demand, now),
        }
    }
}

fn relay_link_settings(settings: &LinkSettings) -> RelayLinkSettings {
    RelayLinkSettings {
        reader: settings.entry.clone(),
        is_relay: false,
        zone: settings.zone.clone(),
        sidecar_port: settings.sidecar_port,
        // The dispatcher disregards old views by itself.
        lost_after: None,
    }
}
