//! A fleet whose entries, sidecars or both are killed at one moment while streams run, around releases
//! of other software versions. Decisions are those of the product; fixed seeds, no sockets.

mod clients;
mod entry;
mod fleet;
mod outcome;
#[path = "../retry_budget_sim/random.rs"]
mod random;
mod scenario;
mod streams;

pub use {
    fleet::Fleet,
    outcome::Counts,
    scenario::{Case, Layout, Scenario, CASES, LAYOUTS},
};
