use {
    anyhow::{Context, Result},
    std::future::Future,
    tokio::signal::unix::{signal, SignalKind},
};

/// Waits for SIGTERM or SIGINT and returns its name.
pub async fn stop_signal() -> Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot watch SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}

/// Runs a step of the start, which may wait for something to pass; `None` if the process is told
/// to stop meanwhile.
///
/// # Errors
/// Fails if the step does, or if signals can't be watched.
pub async fn unless_stopped<T>(step: impl Future<Output = Result<T>>) -> Result<Option<T>> {
    tokio::select! {
        biased;
        done = step => done.map(Some),
        signal = stop_signal() => {
            log::info!("process: stopped during its start by {}", signal?);
            Ok(None)
        }
    }
}
