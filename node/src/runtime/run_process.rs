use {
    super::{
        panics::{log_panics, panic_text},
        resources::until_had,
    },
    crate::logging,
    anyhow::{anyhow, Result},
    std::{
        future::Future,
        panic::{catch_unwind, AssertUnwindSafe},
    },
    tokio::runtime::Builder,
};

/// Functions that threads of a runtime call when they have nothing to do, and when they go on.
#[derive(Debug, Clone, Copy)]
pub struct ParkHooks {
    pub on_park: fn(),
    pub on_unpark: fn(),
}

impl Default for ParkHooks {
    fn default() -> Self {
        Self {
            on_park: || {},
            on_unpark: || {},
        }
    }
}

/// Starts logging and a multi-threaded runtime, and runs a process to completion.
pub fn run_process(
    name: &str,
    log_level: &str,
    threads: usize,
    process: impl Future<Output = Result<()>>,
) -> Result<()> {
    let mut builder = Builder::new_multi_thread();
    builder.worker_threads(threads);
    run(name, log_level, builder, process)
}

/// Like [`run_process`] with a single-threaded runtime, for boxes with a fraction of a core.
pub fn run_on_one_thread(
    name: &str,
    log_level: &str,
    hooks: ParkHooks,
    process: impl Future<Output = Result<()>>,
) -> Result<()> {
    let mut builder = Builder::new_current_thread();
    builder
        .on_thread_park(hooks.on_park)
        .on_thread_unpark(hooks.on_unpark);
    run(name, log_level, builder, process)
}

fn run(
    name: &str,
    log_level: &str,
    builder: Builder,
    process: impl Future<Output = Result<()>>,
) -> Result<()> {
    let log = logging::start(name, log_level)?;
    log_panics();
    let result = run_logged(builder, process);
    match &result {
        Ok(()) => log::info!("process: ends as it was told to"),
        Err(e) => log::error!("process: failed: {e:#}"),
    }
    log.shutdown();
    result
}

/// Runs a process to completion; a panic of its main task is a failure like others.
fn run_logged(mut builder: Builder, process: impl Future<Output = Result<()>>) -> Result<()> {
    let run = || {
        let runtime = until_had("the runtime", || builder.enable_all().build());
        runtime.block_on(process)
    };
    let result = catch_unwind(AssertUnwindSafe(run));
    result.unwrap_or_else(|panic| Err(anyhow!("panicked: {}", panic_text(panic.as_ref()))))
}
