//! who may give orders to an engine, and what a pause makes doubtful

mod engine_status;
mod fence_controller;
mod pause_detector;

pub use {
    engine_status::{EngineStatus, RunningRequest},
    fence_controller::{FenceAction, FenceController, FenceState},
    pause_detector::PauseDetector,
};
