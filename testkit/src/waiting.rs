//! waiting for what a test expects to come about

use {
    std::{
        future::Future,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// far beyond what any machine needs; it only keeps a failure from hanging
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// wait until a condition holds
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    until_async(what, || async { condition() }).await;
}

/// the same for a condition that has to be asked for
pub async fn until_async<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "waited {WAIT_TIMEOUT:?} for: {what}");
        sleep(POLL_INTERVAL).await;
    }
}
