use {
    super::rank_by_rendezvous,
    chalkcart_state::fleet::{FleetBox, FleetList},
};

/// Number of entry boxes per zone that watch the platform for the others.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Rendezvous key; all processes have to use the same.
const PERMIT_ISSUER_KEY: &str = "permit-giver";

/// Returns the entry boxes that watch the platform for their zone.
pub fn select_watchers<'l>(list: &'l FleetList, zone: &str) -> Vec<&'l FleetBox> {
    let key = format!("watcher/{zone}");
    let entries: Vec<&FleetBox> = list.live_entries().filter(|b| b.zone == zone).collect();
    let ranked = rank_by_rendezvous(&key, entries.iter().copied(), |b| &b.name);
    ranked.into_iter().take(WATCHERS_PER_ZONE).collect()
}

/// Returns the entry box that issues load permits.
pub fn select_permit_issuer(list: &FleetList) -> Option<&FleetBox> {
    let entries: Vec<&FleetBox> = list.live_entries().collect();
    let ranked = rank_by_rendezvous(PERMIT_ISSUER_KEY, entries.iter().copied(), |b| &b.name);
    ranked.first().copied()
}
