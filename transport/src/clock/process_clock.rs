use {
    super::{BootClock, Clock, ClockError},
    std::{
        sync::OnceLock,
        time::{Duration, Instant},
    },
};

/// what stands in for a boot clock that the system does not have
struct SteadyClock;

impl Clock for SteadyClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

static CLOCK: OnceLock<Box<dyn Clock>> = OnceLock::new();

/// have this process go by a clock; before it asks for the time first
///
/// # Errors
/// the process goes by a clock already
pub fn install(clock: Box<dyn Clock>) -> Result<(), ClockError> {
    CLOCK.set(clock).map_err(|_| ClockError::InUse)
}

/// the time; by the boot clock unless another one was installed
pub fn now() -> Instant {
    CLOCK.get_or_init(boot_clock).now()
}

/// time since a moment, also while the machine was suspended
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

fn boot_clock() -> Box<dyn Clock> {
    match BootClock::new() {
        Ok(clock) => Box::new(clock),
        Err(e) => {
            log::error!("clock: {e}: time spent suspended is not counted");
            Box::new(SteadyClock)
        }
    }
}
