use {
    super::{Clock, ClockError},
    nix::time::{clock_gettime, ClockId},
    std::time::{Duration, Instant},
};

/// `CLOCK_BOOTTIME`: a monotonic clock that also advances while the machine is suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    started_at: Instant,
    /// The boot time at `started_at`.
    start_boot_time: Duration,
}

impl BootClock {
    /// # Errors
    /// Fails if the system has no such clock.
    pub fn new() -> Result<Self, ClockError> {
        Ok(Self {
            started_at: Instant::now(),
            start_boot_time: boot_time()?,
        })
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        // `new` has read the clock, so an error is not expected; the monotonic clock is the
        // closest substitute.
        match boot_time() {
            Ok(time) => self.started_at + time.saturating_sub(self.start_boot_time),
            Err(_) => Instant::now(),
        }
    }
}

fn boot_time() -> Result<Duration, ClockError> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = time.map_err(|e| ClockError::Unreadable(e.to_string()))?;
    Ok(Duration::from(time))
}
