//! Sends requests to targets and delivers their responses to callers.

mod attempt;
mod job;
mod repeatable_attempt;
mod request_forwarder;
mod reserved_attempt;

pub use {
    job::{Job, ResponsePart},
    request_forwarder::RequestForwarder,
};
