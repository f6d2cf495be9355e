//! which adapters an engine's few slots hold

mod adapter_key;
mod decaying_count;
mod slot_table;

pub use {
    adapter_key::AdapterKey,
    decaying_count::DecayingCount,
    slot_table::{SlotAvailability, SlotPhase, SlotTable},
};
