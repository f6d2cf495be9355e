use {
    super::now,
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::time::sleep,
};

/// A timer that was set before the machine was suspended fires late by the time for which
/// it was. So no timer is set for longer than this: a deadline that passed meanwhile is seen
/// that long after the wake at the latest.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// the deadline passed first
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the deadline has passed")]
pub struct DeadlineElapsed;

/// sleep until a deadline, also one that passes while the machine is suspended
pub async fn sleep_until_deadline(deadline: Instant) {
    loop {
        let left = deadline.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        sleep(left.min(LOOK_EVERY)).await;
    }
}

/// Wait for something until a deadline, also one that passes while the machine is suspended.
/// What is there by then is given, also late: it is no use to its caller to throw it away.
///
/// # Errors
/// the deadline passed first
pub async fn before_deadline<T>(
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Result<T, DeadlineElapsed> {
    tokio::select! {
        biased;
        value = future => Ok(value),
        () = sleep_until_deadline(deadline) => Err(DeadlineElapsed),
    }
}
