//! Graceful shutdown of an entry of the users' platform.

mod ingress_drain;
mod last_start;
mod run_times;

pub use {
    ingress_drain::IngressDrain,
    last_start::LastStart,
    run_times::{ExpectedTime, RunTimes},
};
