//! which waiting request runs next

mod fair_queue;
mod waiting;

pub use {fair_queue::FairQueue, waiting::Waiting};
