use {
    chalkcart_state::ids::ZoneName,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

/// Number of watched engines from which a relay reads the engines of other zones through relays
/// of those zones. With fewer, it reads the sidecars of all zones itself, which saves a hop.
pub const MIN_ENGINES_FOR_ZONE_RELAYS: usize = 240;
/// Relays of other zones stay in use until the number of engines falls to this fraction of the
/// threshold, which avoids switching back and forth around it.
const RELEASE_RATIO: f64 = 0.5;
/// Zones with fewer engines are read directly, since a relay there costs as many links.
const MIN_ENGINES_OF_ZONE: usize = 3;

/// An engine that a relay must reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedEngine {
    pub addr: SocketAddr,
    /// `None` if no entry has told it.
    pub zone: Option<ZoneName>,
    /// Whether a relay of another zone watches it through this one.
    pub is_watched_by_relay: bool,
}

/// How a relay reaches the sidecars of the engines that its entries and other relays watch.
///
/// An engine that another relay watches is always read directly, so that no demand or view
/// passes more than two relays, whatever the lists of the processes contain.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LinkPlan {
    /// Engines whose sidecars are linked.
    pub direct: BTreeSet<SocketAddr>,
    /// Engines that are reached through a relay of their zone, by zone.
    pub through_zones: BTreeMap<ZoneName, BTreeSet<SocketAddr>>,
}

impl LinkPlan {
    /// Plans the links of a relay in `own_zone`, which is `None` while unknown. `min_engines` is
    /// the number of engines from which relays of other zones are used, and `previous` the plan
    /// in use.
    pub fn new(
        engines: &[WatchedEngine],
        own_zone: Option<&ZoneName>,
        min_engines: usize,
        previous: &Self,
    ) -> Self {
        let threshold = match previous.through_zones.is_empty() {
            true => min_engines as f64,
            false => min_engines as f64 * RELEASE_RATIO,
        };
        let mut plan = Self::default();
        let uses_zones = own_zone.is_some() && engines.len() as f64 >= threshold;
        for engine in engines {
            let other_zone = engine.zone.as_ref().filter(|zone| Some(*zone) != own_zone);
            match other_zone.filter(|_| uses_zones && !engine.is_watched_by_relay) {
                Some(zone) => {
                    let of_zone = plan.through_zones.entry(zone.clone()).or_default();
                    of_zone.insert(engine.addr);
                }
                None => {
                    plan.direct.insert(engine.addr);
                }
            }
        }
        plan.read_small_zones_directly();
        plan
    }

    pub fn is_direct(&self, engine: SocketAddr) -> bool {
        self.direct.contains(&engine)
    }

    fn read_small_zones_directly(&mut self) {
        let direct = &mut self.direct;
        self.through_zones.retain(|_, engines| {
            let is_kept = engines.len() >= MIN_ENGINES_OF_ZONE;
            if !is_kept {
                direct.extend(engines.iter());
            }
            is_kept
        });
    }
}
