//! The queue of one target and the order in which its requests start.

mod fair_queue;
mod queued_request;

pub use {fair_queue::FairQueue, queued_request::QueuedRequest};
