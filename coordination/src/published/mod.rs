//! What an entry knows from the platform's store, kept beyond a store that returns with an older
//! state.

mod evacuated_zones;
mod holds;
mod listed_backends;

pub use {
    evacuated_zones::EvacuatedZones,
    listed_backends::{ListUpdate, ListedBackends},
};
