//! Sends requests to targets and delivers their responses to callers.

mod attempt;
mod dispatcher;
mod job;
mod repeatable_attempt;
mod reserved_attempt;

pub use {
    dispatcher::Dispatcher,
    job::{Job, ResponsePart},
};
