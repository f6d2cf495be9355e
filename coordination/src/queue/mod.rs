//! which waiting request runs next

mod fair_queue;
mod queued_request;

pub use {fair_queue::FairQueue, queued_request::QueuedRequest};
