//! The clock for leases, fences, ages and deadlines.
//!
//! The runtime's timers and `Instant::now` use the monotonic clock, which stops while the
//! machine is suspended. Leases and deadlines must go on, so they use `now` of this module.

mod boot_clock;
mod deadlines;
mod errors;
mod idle_time;
mod process_clock;

pub use {
    boot_clock::BootClock,
    deadlines::{before_deadline, sleep_until_deadline, DeadlineElapsed},
    errors::ClockError,
    idle_time::{idle_time, on_park, on_unpark},
    process_clock::{elapsed, install, now},
};

use std::time::Instant;

/// A clock on the scale of `Instant` that never goes back.
pub trait Clock: Send + Sync {
    fn now(&self) -> Instant;
}
