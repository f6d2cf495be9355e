//! signals that ask for a planned stop, or for settings to be read again

mod sighup;
mod stop_signal;

pub use {
    sighup::{block_sighup, unblock_sighup},
    stop_signal::stop_signal,
};
