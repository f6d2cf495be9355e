use {
    super::panic_text,
    crate::clock,
    chalkcart_coordination::retry::Backoff,
    futures::FutureExt,
    std::{future::Future, panic::AssertUnwindSafe, time::Duration},
    tokio::time::sleep,
};

/// Pauses before a task that panicked goes on.
const PAUSES: Backoff = Backoff {
    first: Duration::from_millis(100),
    max: Duration::from_secs(5),
};
/// A task that ran for this long before it panicked pauses as after the first panic.
const SETTLED_AFTER: Duration = Duration::from_secs(60);

/// Runs a task that the process needs until it ends by itself. After a panic it starts again, each
/// time after a longer pause.
pub async fn supervised<F, T>(name: &'static str, mut start: F)
where
    F: FnMut() -> T,
    T: Future<Output = ()>,
{
    let mut panics = 0;
    loop {
        let started_at = clock::now();
        if contained(name, start()).await.is_some() {
            return;
        }
        if clock::elapsed(started_at) >= SETTLED_AFTER {
            panics = 0;
        }
        panics += 1;
        sleep(PAUSES.delay(panics, 1.0)).await;
    }
}

/// Runs a part of a task, and returns `None` if it panicked.
pub async fn contained<T>(name: &'static str, part: impl Future<Output = T>) -> Option<T> {
    // the next start makes its state anew, or bears one that is changed in part
    let result = AssertUnwindSafe(part).catch_unwind().await;
    let log_panic = |panic: &(dyn std::any::Any + Send)| {
        log::error!(
            task = name,
            problem = panic_text(panic);
            "process: a task failed and starts again"
        );
    };
    result.map_err(|panic| log_panic(panic.as_ref())).ok()
}
