//! signals that ask for a planned stop

mod stop_signal;

pub use stop_signal::stop_signal;
