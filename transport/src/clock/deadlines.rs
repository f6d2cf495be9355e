use {
    super::now,
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    thiserror::Error,
    tokio::time::sleep,
};

/// The longest single timer. The runtime's timers stop while the machine is suspended, so a
/// deadline that passed during a suspension is noticed at most this long after the resume.
const MAX_TIMER: Duration = Duration::from_secs(1);

/// The deadline passed before the awaited value was ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the deadline has passed")]
pub struct DeadlineElapsed;

/// Sleeps until a deadline, which may pass while the machine is suspended.
pub async fn sleep_until_deadline(deadline: Instant) {
    loop {
        let left = deadline.saturating_duration_since(now());
        if left.is_zero() {
            return;
        }
        sleep(left.min(MAX_TIMER)).await;
    }
}

/// Awaits a future until a deadline, which may pass while the machine is suspended.
///
/// A value that is ready is returned even if the deadline has passed.
///
/// # Errors
/// Fails if the deadline passes while the future is pending.
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
