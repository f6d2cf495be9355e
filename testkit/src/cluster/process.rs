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
/// of the system's masks of signals
const SIGHUP_BIT: u64 = 1 << (Signal::SIGHUP as u64 - 1);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// a process of the system under test; it is killed when this is dropped
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// start a program; its log is added to a file
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
    pub fn id(&self) -> u32 {
        self.child.id()
    }
    /// SIGKILL
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill().context("kill")?;
        self.child.wait().context("wait after a kill")?;
        Ok(())
    }
    /// SIGSTOP, and wait until no thread runs any more: the signal returns up to
    /// 23 ms earlier on a busy machine
    pub fn pause(&self) -> Result<()> {
        self.signal(Signal::SIGSTOP)?;
        while !self.is_stopped()? {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        Ok(())
    }
    /// whether each thread is stopped
    pub fn is_stopped(&self) -> Result<bool> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.id())).context("list threads")?;
        for task in tasks {
            let path = task.context("list threads")?.path().join("stat");
            // a thread may have ended meanwhile
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
    /// SIGCONT
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::SIGCONT)
    }
    /// SIGTERM: a planned stop
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::SIGTERM)
    }
    /// Whether SIGHUP does not end it: it is held back or followed, by the system's own
    /// word. Before its program begins nothing can do that.
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
    /// whether it has ended
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
    /// wait for the end, up to a limit
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            anyhow::ensure!(Instant::now() < until, "still runs after {limit:?}");
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }
    fn signal(&self, signal: Signal) -> Result<()> {
        kill(Pid::from_raw(self.child.id() as i32), signal).context("send a signal")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // it may have ended
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
