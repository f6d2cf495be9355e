//! Simulation of entries and engines with few adapter slots. It runs the decisions of the
//! entries (`Dispatcher`) and of the sidecars (`PlacementControl`) in simulated time, without
//! sockets.

// each user needs only some of the items
#![allow(dead_code)]

mod client;
mod engine;
mod entry;
mod fleet;
mod outcome;
mod scenario;
mod sidecar;
mod workload;

pub use {fleet::run, outcome::Outcome, scenario::Scenario};

use std::time::Duration;

/// Time since the start of the simulation, in ms.
pub type SimTime = u64;

/// Resolution of the simulated time, in ms.
pub const STEP_MS: SimTime = 5;
/// Adapters of one base model.
pub const MODEL: &str = "m";
/// The service of all engines.
pub const SERVICE: &str = "engines";

fn ms(ms: SimTime) -> Duration {
    Duration::from_millis(ms)
}
