use {
    super::{json_line::json_line, line_budget::LineBudget},
    anyhow::{Context, Result},
    flexi_logger::{writers::LogWriter, DeferredNow},
    log::{Level, LevelFilter, Record},
    std::{
        io::{self, Write},
        sync::{
            atomic::{AtomicUsize, Ordering},
            mpsc::{sync_channel, Receiver, SyncSender},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// lines that wait for a slow reader
const QUEUED_LINES: usize = 512;
/// longest time that the end of the process waits for its last lines
const LAST_LINES: Duration = Duration::from_millis(200);
const LOOK: Duration = Duration::from_millis(5);
/// stack of the writing thread, which only copies lines
const STACK_BYTES: usize = 64 * 1024;

/// writes lines without ever waiting for their reader.
///
/// A thread of its own writes; when its queue or the budget is full, lines are
/// left out and counted, and the count is the next line that gets through.
pub struct BoundedWriter {
    node: String,
    started: Instant,
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
    /// lines that the thread has not written yet
    pending: Arc<AtomicUsize>,
}

impl BoundedWriter {
    /// start the thread that writes to `out`
    pub fn start(node: &str, out: impl Write + Send + 'static) -> Result<Self> {
        let (lines, received) = sync_channel(QUEUED_LINES);
        let builder = thread::Builder::new()
            .name("log".to_string())
            .stack_size(STACK_BYTES);
        let pending = Arc::new(AtomicUsize::new(0));
        let unwritten = pending.clone();
        let write = move || write_all(&received, out, &unwritten);
        builder.spawn(write).context("start the log's thread")?;
        let started = Instant::now();
        Ok(Self {
            node: node.to_string(),
            started,
            lines,
            budget: Mutex::new(LineBudget::new(started)),
            pending,
        })
    }

    /// write one record, or count it as left out
    pub fn put(&self, record: &Record) {
        let now = Instant::now();
        let line = json_line(&self.node, now - self.started, record);
        let is_failure = record.level() <= Level::Warn;
        // no holder panics halfway through a change
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        if !budget.take(line.len() + 1, is_failure, now) {
            return;
        }
        let left_out = budget.take_left_out();
        if left_out > 0 && !self.send_count(left_out, now) {
            budget.put_back(left_out);
        }
        if !self.hand_on(line) {
            budget.put_back(1);
        }
    }

    fn hand_on(&self, line: String) -> bool {
        self.pending.fetch_add(1, Ordering::Relaxed);
        let is_taken = self.lines.try_send(line).is_ok();
        if !is_taken {
            self.pending.fetch_sub(1, Ordering::Relaxed);
        }
        is_taken
    }

    /// say how many lines were left out; false if the queue is full
    fn send_count(&self, left_out: u64, now: Instant) -> bool {
        let fields = [("count", left_out)];
        let mut builder = Record::builder();
        builder.level(Level::Warn).key_values(&fields);
        let line = json_line(
            &self.node,
            now - self.started,
            &builder.args(format_args!("log: lines left out")).build(),
        );
        self.hand_on(line)
    }
}

fn write_all(received: &Receiver<String>, mut out: impl Write, pending: &AtomicUsize) {
    for line in received {
        // a reader that is gone is no reason to stop the process
        let _ = writeln!(out, "{line}");
        let _ = out.flush();
        pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        self.put(record);
        Ok(())
    }
    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
    /// let the last lines out, for a short time at most
    fn shutdown(&self) {
        let until = Instant::now() + LAST_LINES;
        while self.pending.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            thread::sleep(LOOK);
        }
    }
}
