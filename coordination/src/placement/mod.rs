//! Placement of adapters on an engine, decided by the engine's sidecar from the demands of
//! the entries.

mod demand_table;
mod engine_order;
mod engine_report;
mod fence_token;
mod load_time_estimator;
mod next_order;
mod order_count;
mod placement_control;
mod recent_adapters;
mod settings;

use order_count::OrderCount;

pub use {
    demand_table::DemandTable,
    engine_order::{EngineOrder, OrderAnswer, OrderKind},
    engine_report::{EngineReport, EngineRun},
    fence_token::FenceToken,
    load_time_estimator::LoadTimeEstimator,
    placement_control::{PlacementAction, PlacementControl, PlacementEvent},
    recent_adapters::{adapter_hash, AdapterHash, RecentAdapters},
    settings::PlacementSettings,
};
