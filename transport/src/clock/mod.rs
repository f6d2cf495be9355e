//! the one clock by which leases, fences, ages and deadlines are judged
//!
//! The runtime's timers go by the steady clock, which stands still while the machine is
//! suspended; so does `Instant::now`. What is believed must not: all of it is dated and
//! judged by `now` of this module.

mod boot_clock;
mod deadlines;
mod errors;
mod process_clock;

pub use {
    boot_clock::BootClock,
    deadlines::{before_deadline, sleep_until_deadline, DeadlineElapsed},
    errors::ClockError,
    process_clock::{elapsed, install, now},
};

use std::time::Instant;

/// tells the time, on the scale of `Instant`; it never goes back
pub trait Clock: Send + Sync {
    fn now(&self) -> Instant;
}
