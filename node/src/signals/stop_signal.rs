use {
    anyhow::{Context, Result},
    tokio::signal::unix::{signal, SignalKind},
};

/// wait for SIGTERM or SIGINT; give its name
pub async fn stop_signal() -> Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate()).context("watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("watch SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
