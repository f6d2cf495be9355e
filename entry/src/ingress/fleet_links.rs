use {
    super::{control::ControlHandle, relay_link::RelayLink, store_relays::StoreRelays},
    chalkcart_coordination::relay::RelayCandidate,
    chalkcart_protocol::peer::AdapterDemand,
    chalkcart_state::ids::{BoxName, ZoneName},
    chalkcart_transport::links::SidecarLinks,
    std::{iter, net::SocketAddr, sync::Arc, time::Instant},
    tokio::runtime::Handle,
};

/// relays are kept until no more than this part of the engines is left that
/// they were taken for
const KEPT_DOWN_TO: f64 = 0.5;

/// where an entry stands in the fleet, and how sidecars are reached
#[derive(Debug, Clone)]
pub struct LinkSettings {
    pub entry: BoxName,
    pub zone: ZoneName,
    /// port at which sidecars listen, on the addresses of their engines
    pub sidecar_port: u16,
    /// engines from which on relays are used; none if never
    pub relays_from_engines: Option<usize>,
    /// filled in with the relays by which the store is heard
    pub store_relays: Arc<StoreRelays>,
}

/// how an entry hears the sidecars of engines: each by a link of its own, or all
/// by a relay of its zone
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

    /// hear the sidecars of these engines, and of no other
    pub fn set_engines(&mut self, engines: Vec<RelayCandidate>) {
        if !self.wants_relay(engines.len()) {
            self.relay = None;
            self.direct.set_engines(engines.iter().map(|c| c.engine));
            return;
        }
        self.direct.set_engines(iter::empty());
        let relay = self.relay.get_or_insert_with(|| {
            RelayLink::open(&self.runtime, &self.settings, self.control.clone())
        });
        relay.set_engines(engines);
    }

    fn wants_relay(&self, engines: usize) -> bool {
        let from = self.settings.relays_from_engines;
        from.is_some_and(|from| match &self.relay {
            Some(_) => engines as f64 > from as f64 * KEPT_DOWN_TO,
            None => engines >= from,
        })
    }

    /// tell the sidecar of an engine what is needed of it
    pub fn send(&mut self, engine: SocketAddr, demand: AdapterDemand, now: Instant) {
        match &mut self.relay {
            Some(relay) => relay.send(engine, demand),
            None => self.direct.send_demand(engine, demand, now),
        }
    }
}
