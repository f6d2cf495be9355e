//! requests on their way to a target and back

mod attempt;
mod dispatcher;
mod job;
mod reserved_attempt;

pub use {
    dispatcher::Dispatcher,
    job::{Delivered, Job},
};
