//! Parts of prompts that crash engines, in simulated time: entries with crash registries of their own
//! that exchange reports, engines that crash at a set moment of a run, and sound requests beside them.

mod entries;
mod outcome;
mod settings;
mod simulation;

pub use {
    outcome::SimOutcome,
    settings::{FirstParts, SimMoment, SimSettings, StreamLengths},
    simulation::Simulation,
};
