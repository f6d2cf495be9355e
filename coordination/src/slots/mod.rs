//! The adapter slots of an engine.

mod adapter_key;
mod decaying_count;
mod slot_table;

pub use {
    adapter_key::AdapterKey,
    decaying_count::DecayingCount,
    slot_table::{SlotAvailability, SlotPhase, SlotTable},
};
