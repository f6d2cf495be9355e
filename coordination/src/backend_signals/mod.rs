//! Load and lifecycle signals that a back end sends in its response headers.

mod limit_signal;
mod signals;

pub use {
    limit_signal::{LimitSignal, RequestRate},
    signals::BackendSignals,
};
