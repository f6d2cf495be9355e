//! requests on their way to a target and back

mod attempt;
mod dispatcher;
mod job;
mod repeatable_attempt;
mod reserved_attempt;

pub use {
    dispatcher::Dispatcher,
    job::{Job, ResponsePart},
};
