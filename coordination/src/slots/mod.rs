//! which adapters an engine's few slots hold

mod adapter_key;
mod heat;
mod slot_table;

pub use {
    adapter_key::AdapterKey,
    heat::Heat,
    slot_table::{SlotAvailability, SlotPhase, SlotTable},
};
