//! Signals for a graceful shutdown and for reloading settings.

mod sighup;
mod stop_cause;
mod stop_signal;

pub use {
    sighup::{block_sighup, unblock_sighup},
    stop_cause::{stop_cause, StopCause},
    stop_signal::{stop_signal, unless_stopped},
};
