//! who may give orders to an engine, and what a pause makes doubtful

mod engine_status;
mod fence_keeper;
mod pause_detector;

pub use {
    engine_status::{EngineStatus, RunningRequest},
    fence_keeper::{FenceKeeper, FenceState, FenceStep},
    pause_detector::PauseDetector,
};
