use {
    crate::logging,
    anyhow::{Context, Result},
    std::future::Future,
    tokio::runtime::Builder,
};

/// start the log and the traffic threads, and run a process to its end
pub fn run_process(
    name: &str,
    log_level: &str,
    threads: usize,
    process: impl Future<Output = Result<()>>,
) -> Result<()> {
    let _log = logging::start(name, log_level)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .context("start the runtime")?;
    runtime.block_on(process)
}
