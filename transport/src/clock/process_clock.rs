use {
    super::{BootClock, Clock, ClockError},
    std::{
        sync::OnceLock,
        time::{Duration, Instant},
    },
};

/// The fallback where the system has no boot clock.
struct MonotonicClock;

impl Clock for MonotonicClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

static CLOCK: OnceLock<Box<dyn Clock>> = OnceLock::new();

/// Sets the clock of this process. Must be called before the first call of `now`.
///
/// # Errors
/// Fails if the process already has a clock.
pub fn install(clock: Box<dyn Clock>) -> Result<(), ClockError> {
    CLOCK.set(clock).map_err(|_| ClockError::InUse)
}

/// Returns the current time, by the boot clock unless another one was installed.
pub fn now() -> Instant {
    CLOCK.get_or_init(boot_clock).now()
}

/// Returns the time since a moment, including time for which the machine was suspended.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

fn boot_clock() -> Box<dyn Clock> {
    match BootClock::new() {
        Ok(clock) => Box::new(clock),
        Err(e) => {
            log::error!("clock: {e}: time spent suspended is not counted");
            Box::new(MonotonicClock)
        }
    }
}
