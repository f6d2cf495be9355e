//! Assignment of roles to processes, derived from the list of live instances alone.

mod aggregator_selector;
mod entry_count_memory;
mod rendezvous;
mod roles;

pub use {
    aggregator_selector::{AggregatedState, AggregatorSelector},
    entry_count_memory::EntryCountMemory,
    rendezvous::{rank_by_rendezvous, rendezvous_weight, stable_hash, RendezvousScore},
    roles::{select_permit_issuer, select_watchers, WATCHERS_PER_ZONE},
};
