//! Requests with a part that crashes engines, beside sound ones with the same first part: a fleet of
//! processes, the clients, and what the rules ask of it.

mod clients;
mod disturbances;
mod outcome;
mod scenario;
mod settings;

pub use {
    outcome::{Outcome, PartOutcome},
    scenario::run,
    settings::{Disturbance, ScenarioSettings},
};
