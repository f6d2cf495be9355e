//! who hears whom in a large fleet: some sidecars of each availability zone
//! pass on what all engines say, and gather what the entries of the zone need

mod relay_book;
mod relay_choice;

pub use {
    relay_book::RelayBook,
    relay_choice::{RelayCandidate, RelayChoice, RELAYS_FROM_ENGINES, RELAYS_PER_ZONE},
};
