//! who hears whom in a large fleet: some sidecars of each availability zone
//! pass on what all engines say, and gather what the entries of the zone need

mod direct_call_pacing;
mod published_cache;
mod relay_pacing;
mod relay_selector;
mod relay_state;

pub use {
    direct_call_pacing::DirectCallPacing,
    published_cache::PublishedCache,
    relay_pacing::RelayPacing,
    relay_selector::{RelayCandidate, RelaySelector, MIN_ENGINES_FOR_RELAYS, RELAYS_PER_ZONE},
    relay_state::RelayState,
};
