//! Waits for conditions in tests.

use {
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Keeps a failing test from hanging; far longer than any condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a condition holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    until_async(what, || async { condition() }).await;
}

/// Waits until an asynchronous condition holds.
pub async fn until_async<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "waited {WAIT_TIMEOUT:?} for: {what}");
        sleep(POLL_INTERVAL).await;
    }
}
