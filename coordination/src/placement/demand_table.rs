use {
    chalkcart_protocol::peer::{AdapterDemand, AdapterUse, WantedAdapter},
    chalkcart_state::{
        backends::{AdapterRef, HeldAdapter},
        ids::BoxName,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// weights of a request that waits, of the most urgent class and of others
const URGENT_WEIGHT: u32 = 3;
const WEIGHT: u32 = 2;
const MOST_URGENT: u8 = 0;

/// what all entries need of one engine
#[derive(Debug, Default)]
pub struct DemandTable {
    demands: HashMap<BoxName, (Instant, AdapterDemand)>,
}

impl DemandTable {
    /// an entry says what it needs
    pub fn insert(&mut self, demand: AdapterDemand, now: Instant) {
        self.demands.insert(demand.entry.clone(), (now, demand));
    }
    /// forget entries that were silent for too long
    pub fn expire(&mut self, silence: Duration, now: Instant) {
        self.demands
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < silence);
    }
    /// forget what an entry needs
    pub fn remove(&mut self, entry: &BoxName) {
        self.demands.remove(entry);
    }
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }
    /// entries that need something, also those for which a relay speaks
    pub fn entry_count(&self) -> u32 {
        self.each().map(|d| d.entries).sum()
    }
    /// all that is needed as one message, said by a relay; none if nobody needs
    /// anything
    pub fn merged_demand(&self, relay: &BoxName) -> Option<AdapterDemand> {
        let newest = self.newest()?;
        Some(AdapterDemand {
            entry: relay.clone(),
            entries: self.entry_count(),
            fence_seen: self.each().map(|d| d.fence_seen).max().unwrap_or(0),
            wanted: self.wanted(),
            used: self.used(),
            outdated: self.outdated(),
            ..newest.clone()
        })
    }
    /// requests of all entries that run on an adapter
    pub fn in_flight(&self, adapter: &AdapterRef) -> u32 {
        let used = self.each().flat_map(|d| &d.used);
        let of = used.filter(|u| u.adapter == *adapter);
        of.map(|u| u.in_flight).sum()
    }
    pub fn is_wanted(&self, adapter: &AdapterRef) -> bool {
        let mut wanted = self.each().flat_map(|d| &d.wanted);
        wanted.any(|w| w.adapter == *adapter)
    }
    /// what requests wait for: first what most of them do, the more urgent
    /// counting a little more
    pub fn wanted(&self) -> Vec<WantedAdapter> {
        let mut merged: HashMap<&AdapterRef, WantedAdapter> = HashMap::new();
        for wanted in self.each().flat_map(|d| &d.wanted) {
            match merged.get_mut(&wanted.adapter) {
                Some(row) => {
                    row.waiting += wanted.waiting;
                    row.priority = row.priority.min(wanted.priority);
                    row.waited_ms = row.waited_ms.max(wanted.waited_ms);
                }
                None => {
                    merged.insert(&wanted.adapter, wanted.clone());
                }
            }
        }
        let mut wanted: Vec<WantedAdapter> = merged.into_values().collect();
        wanted.sort_by(|a, b| {
            weight(b)
                .cmp(&weight(a))
                .then(a.priority.cmp(&b.priority))
                .then(b.waited_ms.cmp(&a.waited_ms))
                .then(a.adapter.cmp(&b.adapter))
        });
        wanted
    }
    /// the lowest version of an adapter that entries still accept
    pub fn newest_version(&self, adapter: &AdapterRef) -> Option<u64> {
        let outdated = self.each().flat_map(|d| &d.outdated);
        let of = outdated.filter(|o| o.adapter == *adapter);
        of.map(|o| o.version).max()
    }
    /// the message that stands in the newest list
    pub fn newest(&self) -> Option<&AdapterDemand> {
        self.each().max_by_key(|d| d.list_version)
    }

    fn used(&self) -> Vec<AdapterUse> {
        let mut in_flight: BTreeMap<&AdapterRef, u32> = BTreeMap::new();
        for used in self.each().flat_map(|d| &d.used) {
            *in_flight.entry(&used.adapter).or_default() += used.in_flight;
        }
        let uses = in_flight.into_iter().map(|(adapter, n)| AdapterUse {
            adapter: adapter.clone(),
            in_flight: n,
        });
        uses.collect()
    }

    /// of each adapter the newest version that an entry knows
    fn outdated(&self) -> Vec<HeldAdapter> {
        let mut newest: BTreeMap<&AdapterRef, u64> = BTreeMap::new();
        for outdated in self.each().flat_map(|d| &d.outdated) {
            let version = newest.entry(&outdated.adapter).or_default();
            *version = outdated.version.max(*version);
        }
        let outdated = newest.into_iter().map(|(adapter, version)| HeldAdapter {
            adapter: adapter.clone(),
            version,
        });
        outdated.collect()
    }

    fn each(&self) -> impl Iterator<Item = &AdapterDemand> {
        self.demands.values().map(|(_, demand)| demand)
    }
}

/// weight of an adapter among those that wait to be loaded
fn weight(wanted: &WantedAdapter) -> u32 {
    let each = match wanted.priority {
        MOST_URGENT => URGENT_WEIGHT,
        _ => WEIGHT,
    };
    wanted.waiting * each
}
