use {
    anyhow::{Context, Result},
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    std::{
        fs::{self, File, OpenOptions},
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        thread,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

const STOP_POLL_INTERVAL: Duration = Duration::from_micros(200);
/// Bit of SIGHUP in the signal masks of `/proc/PID/status`.
const SIGHUP_BIT: u64 = 1 << (Signal::SIGHUP as u64 - 1);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Process of the system under test; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its output to a log file.
    pub fn spawn(program: &Path, args: &[&str], log: &Path) -> Result<Self> {
        let log: File = OpenOptions::new().create(true).append(true).open(log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("start {}", program.display()))?;
        Ok(Self { child })
    }
    /// Does the same with a limit of descriptors, which the program can't raise.
    pub fn spawn_limited(
        program: &Path,
        args: &[&str],
        log: &Path,
        descriptors: u64,
    ) -> Result<Self> {
        let limited = format!("ulimit -n {descriptors}; exec \"$0\" \"$@\"");
        let program = program.display().to_string();
        let args = [&["-c", &limited, &program], args].concat();
        Self::spawn(Path::new("/bin/sh"), &args, log)
    }
    pub fn id(&self) -> u32 {
        self.child.id()
    }
    /// Sends SIGKILL and waits for the exit.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().context("send SIGKILL")?;
        self.child
            .wait()
            .context("wait for the exit after SIGKILL")?;
        Ok(())
    }
    /// Sends SIGSTOP and waits until all threads are stopped, which may be some time after the
    /// system call returns.
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)?;
        while !self.is_stopped()? {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        Ok(())
    }
    /// Returns whether all threads are stopped.
    pub fn is_stopped(&self) -> Result<bool> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.id())).context("list threads")?;
        for task in tasks {
            let path = task.context("list threads")?.path().join("stat");
            // the thread may have ended since the folder was read
            let Ok(stat) = fs::read_to_string(path) else {
                continue;
            };
            let (_, fields) = stat.rsplit_once(')').context("read a thread's state")?;
            if !fields.trim_start().starts_with(['T', 't']) {
                return Ok(false);
            }
        }
        Ok(true)
    }
    /// Sends SIGCONT.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }
    /// Sends SIGTERM, which starts a graceful shutdown.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }
    /// Sends SIGHUP, which has the settings file read again.
    pub fn hang_up(&self) -> Result<()> {
        self.signal(Signal::SIGHUP)
    }
    /// Returns whether the process blocks or handles SIGHUP, by its signal masks. Before the
    /// program runs, SIGHUP would end it.
    pub fn survives_sighup(&self) -> bool {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()));
        let status = status.unwrap_or_default();
        let mask = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            u64::from_str_radix(line.split_whitespace().nth(1)?, 16).ok()
        };
        let masks = ["SigBlk:", "SigCgt:"].map(|name| mask(name).unwrap_or(0));
        masks.iter().any(|mask| mask & SIGHUP_BIT != 0)
    }
    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
    /// Waits for the exit, up to a time limit.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            anyhow::ensure!(
                Instant::now() < deadline,
                "process still runs after {timeout:?}"
            );
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }
    /// Returns the processor time that all threads have used.
    pub fn cpu_time(&self) -> Duration {
        cpu_time(self.id())
    }
    fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).context("send a signal")
    }
}

/// Returns the processor time that the threads of a process have used, or zero once it has exited.
pub(super) fn cpu_time(process: u32) -> Duration {
    let Ok(tasks) = fs::read_dir(format!("/proc/{process}/task")) else {
        return Duration::ZERO;
    };
    let nanos = tasks.filter_map(|task| {
        let stat = fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        stat.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Returns the resident memory of a process in bytes, or 0 once it has exited.
pub fn memory(process: u32) -> u64 {
    kib_of(process, "VmRSS:") * 1_024
}

/// Returns the most resident memory that a process has had, in bytes, or 0 once it has exited.
pub fn peak_memory(process: u32) -> u64 {
    kib_of(process, "VmHWM:") * 1_024
}

fn kib_of(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0)
}

/// Returns the number of descriptors that a process has open.
pub fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// Sends a signal to a process, which may have exited.
pub(super) fn signal_process(process: u32, signal: Signal) {
    let _ = kill(Pid::from_raw(process as i32), signal);
}

impl Drop for Process {
    fn drop(&mut self) {
        // the process may have exited already
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
