use {
    super::idle_time::{on_park, on_unpark},
    crate::logging,
    anyhow::{Context, Result},
    std::future::Future,
    tokio::runtime::Builder,
};

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
    process: impl Future<Output = Result<()>>,
) -> Result<()> {
    run(name, log_level, Builder::new_current_thread(), process)
}

fn run(
    name: &str,
    log_level: &str,
    mut builder: Builder,
    process: impl Future<Output = Result<()>>,
) -> Result<()> {
    let log = logging::start(name, log_level)?;
    let runtime = builder
        .enable_all()
        .on_thread_park(on_park)
        .on_thread_unpark(on_unpark)
        .build()
        .context("cannot start the runtime")?;
    let result = runtime.block_on(process);
    if let Err(e) = &result {
        log::error!("process: failed: {e:#}");
    }
    log.shutdown();
    result
}
