//! Fencing of engines: which sidecar process may control an engine, and when it has to
//! acquire a new fence.

mod engine_status;
mod fence_controller;
mod pause_detector;

pub use {
    engine_status::{EngineStatus, RunningRequest},
    fence_controller::{FenceAction, FenceController, FenceState},
    pause_detector::PauseDetector,
};
