use {
    super::RelayHub,
    chalkcart_coordination::relay::{LinkPlan, RelayCandidate},
    chalkcart_protocol::peer::AdapterDemand,
    chalkcart_state::ids::{BoxName, ZoneName},
    chalkcart_transport::links::{RelayLink, RelayLinkSettings, SidecarLinks},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::runtime::Handle,
};

/// Time without an update of any relay of a zone after which its engines count as unresponsive;
/// two relays in succession may be silent until then.
const ZONE_LOST_AFTER: Duration = Duration::from_millis(1_500);

/// The links of a relay: to the sidecars that it reads itself, and to one relay of each other
/// zone.
pub struct ZoneLinks {
    name: BoxName,
    sidecar_port: u16,
    hub: Arc<RelayHub>,
    direct: SidecarLinks,
    relays: BTreeMap<ZoneName, RelayLink>,
    /// Zones of the engines that are reached through a relay.
    zones: HashMap<SocketAddr, ZoneName>,
}

impl ZoneLinks {
    pub fn new(name: BoxName, sidecar_port: u16, hub: Arc<RelayHub>) -> Self {
        let direct = SidecarLinks::new(Handle::current(), hub.clone(), sidecar_port);
        Self {
            name,
            sidecar_port,
            hub,
            direct,
            relays: BTreeMap::new(),
            zones: HashMap::new(),
        }
    }

    /// Opens and closes links as planned.
    pub fn apply(&mut self, plan: &LinkPlan) {
        self.direct.set_engines(plan.direct.iter().copied());
        self.zones.clear();
        self.relays
            .retain(|zone, _| plan.through_zones.contains_key(zone));
        for (zone, engines) in &plan.through_zones {
            let engine_zones = engines.iter().map(|engine| (*engine, zone.clone()));
            self.zones.extend(engine_zones);
            let candidates = engines.iter().map(|engine| RelayCandidate {
                engine: *engine,
                zone: zone.clone(),
            });
            let candidates = candidates.collect();
            match self.relays.get(zone) {
                Some(relay) => relay.set_engines(candidates),
                None => {
                    let relay = self.open(zone);
                    relay.set_engines(candidates);
                    self.relays.insert(zone.clone(), relay);
                }
            }
        }
    }

    /// Sends the demand of an engine to its sidecar, or to a relay of its zone.
    pub fn send_demand(&mut self, engine: SocketAddr, demand: AdapterDemand, now: Instant) {
        let zone = self.zones.get(&engine);
        match zone.and_then(|zone| self.relays.get(zone)) {
            Some(relay) => relay.send_demand(engine, demand),
            None => self.direct.send_demand(engine, demand, now),
        }
    }

    pub fn send_keep_alives(&mut self, now: Instant) {
        self.direct.send_keep_alives(now);
    }

    fn open(&self, zone: &ZoneName) -> RelayLink {
        let settings = RelayLinkSettings {
            reader: self.name.clone(),
            is_relay: true,
            zone: zone.clone(),
            sidecar_port: self.sidecar_port,
            lost_after: Some(ZONE_LOST_AFTER),
        };
        RelayLink::open(&Handle::current(), settings, self.hub.clone())
    }
}
