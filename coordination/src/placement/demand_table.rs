use {
    chalkcart_protocol::peer::{AdapterDemand, AdapterUse, KnownEntries, WantedAdapter},
    chalkcart_state::{
        backends::{AdapterRef, HeldAdapter},
        ids::BoxName,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, HashMap},
        time::{Duration, Instant},
    },
};

/// Weights of a queued request when adapters are ordered for loading.
const URGENT_WEIGHT: u32 = 3;
const NORMAL_WEIGHT: u32 = 2;
const MOST_URGENT_PRIORITY: u8 = 0;

/// Time for which a sender counts among those heard; the demands of a busy entry come late.
const HEARD_FOR: Duration = Duration::from_secs(10);

/// The latest demand of each entry for one engine.
#[derive(Debug, Default)]
pub struct DemandTable {
    demands: HashMap<BoxName, (Instant, AdapterDemand)>,
    /// When each sender was heard last, and the entries that it represents.
    heard: HashMap<BoxName, (Instant, u32)>,
}

impl DemandTable {
    /// Replaces the demand of the entry that sent it.
    pub fn insert(&mut self, demand: AdapterDemand, now: Instant) {
        self.heard
            .insert(demand.entry.clone(), (now, demand.entries));
        self.demands.insert(demand.entry.clone(), (now, demand));
    }
    /// Removes the demands of entries that sent none for `timeout`.
    pub fn expire(&mut self, timeout: Duration, now: Instant) {
        self.demands
            .retain(|_, (received_at, _)| now.saturating_duration_since(*received_at) < timeout);
        self.heard
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < HEARD_FOR);
    }
    pub fn remove(&mut self, entry: &BoxName) {
        self.demands.remove(entry);
    }
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }
    pub fn has_demand_of(&self, sender: &BoxName) -> bool {
        self.demands.contains_key(sender)
    }
    /// Returns the number of entries with a demand, including those behind a relay.
    pub fn entry_count(&self) -> u32 {
        self.latest_demands().map(|d| d.entries).sum()
    }
    /// Returns the number of entries heard in the last seconds. One that changed its relay counts
    /// at both.
    pub fn heard_entry_count(&self) -> u32 {
        self.heard.values().map(|(_, entries)| entries).sum()
    }
    /// Returns the highest number of entries that a sender knows of.
    pub fn known_entries(&self, now: Instant) -> KnownEntries {
        let known = self.demands.values().map(|(received_at, demand)| {
            let held = now.saturating_duration_since(*received_at);
            let known = demand.known_entries;
            KnownEntries {
                age_s: known.age_s + held.as_secs_f64().ceil() as u32,
                ..known
            }
        });
        let highest = known.max_by_key(|known| (known.entries, Reverse(known.age_s)));
        highest.unwrap_or_default()
    }
    /// Merges all demands into one message from a relay; `None` if there is no demand.
    pub fn merged_demand(&self, relay: &BoxName, now: Instant) -> Option<AdapterDemand> {
        let newest = self.newest()?;
        Some(AdapterDemand {
            known_entries: self.known_entries(now),
            entry: relay.clone(),
            entries: self.entry_count(),
            fence_seen: self
                .latest_demands()
                .map(|d| d.fence_seen)
                .max()
                .unwrap_or(0),
            wanted: self.wanted(),
            used: self.merged_uses(),
            outdated: self.merged_outdated(),
            ..newest.clone()
        })
    }
    /// Returns the number of requests of all entries that use the adapter.
    pub fn in_flight(&self, adapter: &AdapterRef) -> u32 {
        let used = self.latest_demands().flat_map(|d| &d.used);
        let matching = used.filter(|u| u.adapter == *adapter);
        matching.map(|u| u.in_flight).sum()
    }
    pub fn is_wanted(&self, adapter: &AdapterRef) -> bool {
        let mut wanted = self.latest_demands().flat_map(|d| &d.wanted);
        wanted.any(|w| w.adapter == *adapter)
    }
    /// Returns the adapters that requests wait for, ordered by the weighted number of
    /// waiting requests.
    pub fn wanted(&self) -> Vec<WantedAdapter> {
        let mut merged: HashMap<&AdapterRef, WantedAdapter> = HashMap::new();
        for wanted in self.latest_demands().flat_map(|d| &d.wanted) {
            match merged.get_mut(&wanted.adapter) {
                Some(total) => {
                    total.waiting += wanted.waiting;
                    total.priority = total.priority.min(wanted.priority);
                    total.waited_ms = total.waited_ms.max(wanted.waited_ms);
                }
                None => {
                    merged.insert(&wanted.adapter, wanted.clone());
                }
            }
        }
        let mut wanted: Vec<WantedAdapter> = merged.into_values().collect();
        wanted.sort_by(|a, b| {
            weighted_waiting(b)
                .cmp(&weighted_waiting(a))
                .then(a.priority.cmp(&b.priority))
                .then(b.waited_ms.cmp(&a.waited_ms))
                .then(a.adapter.cmp(&b.adapter))
        });
        wanted
    }
    /// Returns the newest version of an outdated adapter that any entry knows.
    pub fn newest_version(&self, adapter: &AdapterRef) -> Option<u64> {
        let outdated = self.latest_demands().flat_map(|d| &d.outdated);
        let matching = outdated.filter(|o| o.adapter == *adapter);
        matching.map(|o| o.version).max()
    }
    /// Returns the demand that is based on the newest list of back ends.
    pub fn newest(&self) -> Option<&AdapterDemand> {
        self.latest_demands().max_by_key(|d| d.list_position())
    }

    fn merged_uses(&self) -> Vec<AdapterUse> {
        let mut in_flight: BTreeMap<&AdapterRef, u32> = BTreeMap::new();
        for used in self.latest_demands().flat_map(|d| &d.used) {
            *in_flight.entry(&used.adapter).or_default() += used.in_flight;
        }
        let uses = in_flight.into_iter().map(|(adapter, n)| AdapterUse {
            adapter: adapter.clone(),
            in_flight: n,
        });
        uses.collect()
    }

    /// Returns the newest version that any entry knows, for each outdated adapter.
    fn merged_outdated(&self) -> Vec<HeldAdapter> {
        let mut newest: BTreeMap<&AdapterRef, u64> = BTreeMap::new();
        for outdated in self.latest_demands().flat_map(|d| &d.outdated) {
            let version = newest.entry(&outdated.adapter).or_default();
            *version = outdated.version.max(*version);
        }
        let outdated = newest.into_iter().map(|(adapter, version)| HeldAdapter {
            adapter: adapter.clone(),
            version,
        });
        outdated.collect()
    }

    fn latest_demands(&self) -> impl Iterator<Item = &AdapterDemand> {
        self.demands.values().map(|(_, demand)| demand)
    }
}

/// Returns the weighted number of requests that wait for an adapter.
fn weighted_waiting(wanted: &WantedAdapter) -> u32 {
    let per_request = match wanted.priority {
        MOST_URGENT_PRIORITY => URGENT_WEIGHT,
        _ => NORMAL_WEIGHT,
    };
    wanted.waiting * per_request
}
