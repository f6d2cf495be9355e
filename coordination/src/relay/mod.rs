//! Relays of a large fleet: some sidecars of each availability zone fan out the views of
//! all engines to the zone's entries and merge the entries' demands.

mod direct_call_pacing;
mod link_plan;
mod published_cache;
mod relay_pacing;
mod relay_selector;
mod relay_state;
mod relayed_views;

pub use {
    direct_call_pacing::DirectCallPacing,
    link_plan::{LinkPlan, WatchedEngine, MIN_ENGINES_FOR_ZONE_RELAYS},
    published_cache::PublishedCache,
    relay_pacing::RelayPacing,
    relay_selector::{
        rank_for_zone, RelayCandidate, RelaySelector, MIN_ENGINES_FOR_RELAYS, RELAYS_PER_ZONE,
    },
    relay_state::{RelaySettings, RelayState},
    relayed_views::{RelayedEvent, RelayedViews},
};
