//! which adapters an engine holds: decided by the sidecar beside it, from what
//! the entries need

mod demand_book;
mod engine_order;
mod engine_report;
mod fence_token;
mod lately_held;
mod load_speed;
mod next_order;
mod placement_control;
mod settings;

pub use {
    demand_book::DemandBook,
    engine_order::{EngineOrder, OrderAnswer, OrderKind},
    engine_report::EngineReport,
    fence_token::FenceToken,
    lately_held::{adapter_hash, AdapterHash, LatelyHeld},
    load_speed::LoadSpeed,
    placement_control::{PlacementControl, PlacementEvent, PlacementStep},
    settings::PlacementSettings,
};
