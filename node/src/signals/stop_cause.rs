use {
    super::stop_signal,
    anyhow::{anyhow, Result},
    std::{fmt, future::Future},
};

/// Why a process stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCause {
    /// A signal of this name.
    Signal(&'static str),
    /// The thread ended by which the process decides, without which it serves nobody.
    ControlEnded,
}

impl StopCause {
    /// Returns the result of the process that stopped: it is to be started again after a fault.
    ///
    /// # Errors
    /// Fails if the process stops because of a fault of its own.
    pub fn result(self) -> Result<()> {
        match self {
            Self::Signal(_) => Ok(()),
            Self::ControlEnded => Err(anyhow!("{self}")),
        }
    }
}

impl fmt::Display for StopCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Signal(name) => f.write_str(name),
            Self::ControlEnded => f.write_str("the end of the control thread"),
        }
    }
}

/// Waits for SIGTERM or SIGINT, or for the end of the control thread.
pub async fn stop_cause(control_end: impl Future<Output = ()>) -> Result<StopCause> {
    tokio::select! {
        signal = stop_signal() => Ok(StopCause::Signal(signal?)),
        () = control_end => Ok(StopCause::ControlEnded),
    }
}
