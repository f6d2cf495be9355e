use {
    anyhow::{Context, Result},
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
