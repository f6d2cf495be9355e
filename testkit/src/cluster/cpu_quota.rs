use {
    super::process::{cpu_time, signal_process},
    nix::sys::signal::Signal,
    std::{
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// The period of a quota, as that of the kernel's.
const PERIOD: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Limits a process to a share of a core: once it has used its share of a period, it is stopped
/// for the rest of it, as by a quota of the kernel. It runs freely again when this is dropped.
#[derive(Debug)]
pub struct CpuQuota {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CpuQuota {
    pub fn start(process: u32, cores: f64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                run_period(process, PERIOD.mul_f64(cores));
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

fn run_period(process: u32, quota: Duration) {
    let (began, used_before) = (Instant::now(), cpu_time(process));
    while began.elapsed() < PERIOD {
        if cpu_time(process).saturating_sub(used_before) >= quota {
            signal_process(process, Signal::SIGSTOP);
            thread::sleep(PERIOD.saturating_sub(began.elapsed()));
            signal_process(process, Signal::SIGCONT);
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
}

impl Drop for CpuQuota {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // the thread does not panic
            let _ = thread.join();
        }
    }
}
