use {
    super::{Clock, ClockError},
    nix::time::{clock_gettime, ClockId},
    std::time::{Duration, Instant},
};

/// `CLOCK_BOOTTIME`: steady, and it counts the time for which the machine was suspended
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    began: Instant,
    /// what the boot clock showed then
    shown: Duration,
}

impl BootClock {
    /// # Errors
    /// the system has no such clock
    pub fn new() -> Result<Self, ClockError> {
        Ok(Self {
            began: Instant::now(),
            shown: boot_time()?,
        })
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        // it was read once, so that it can be read; the steady clock is the nearest to it
        match boot_time() {
            Ok(shown) => self.began + shown.saturating_sub(self.shown),
            Err(_) => Instant::now(),
        }
    }
}

fn boot_time() -> Result<Duration, ClockError> {
    let shown = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let shown = shown.map_err(|e| ClockError::Unreadable(e.to_string()))?;
    Ok(Duration::from(shown))
}
