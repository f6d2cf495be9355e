//! what a back end says of itself in the head of an answer, whatever it answers

mod limit_signal;
mod signals;

pub use {
    limit_signal::{LimitSignal, RequestRate},
    signals::BackendSignals,
};
