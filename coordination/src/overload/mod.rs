//! Whether a process has more work than its processor and its link carry, from delays that it
//! measures itself.

mod connect_delay;
mod standing_delay;

pub use {connect_delay::ConnectDelay, standing_delay::StandingDelay};
