use {
    super::{json_line::json_line, line_budget::LineBudget},
    crate::runtime::start_thread,
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

/// Capacity of the queue to the writer thread, in lines.
const QUEUE_CAPACITY: usize = 512;
/// Maximum time that the shutdown waits for queued lines.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(200);
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Stack size of the writer thread, which only copies lines.
const STACK_BYTES: usize = 64 * 1024;

/// Writes log lines without blocking the caller.
///
/// A dedicated thread writes the lines. If its queue is full or the budget is exhausted, lines
/// are dropped and counted, and the count is logged ahead of the next line.
pub struct BoundedWriter {
    node: String,
    started: Instant,
    lines: SyncSender<String>,
    budget: Mutex<LineBudget>,
    /// Queued lines that the thread has not written yet.
    pending: Arc<AtomicUsize>,
}

impl BoundedWriter {
    /// Starts the thread that writes to `out`.
    pub fn start(node: &str, out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = sync_channel(QUEUE_CAPACITY);
        let pending = Arc::new(AtomicUsize::new(0));
        let thread_pending = pending.clone();
        let write = move || write_all(&queue, out, &thread_pending);
        start_thread("log", Some(STACK_BYTES), write);
        let started = Instant::now();
        Self {
            node: node.to_string(),
            started,
            lines,
            budget: Mutex::new(LineBudget::new(started)),
            pending,
        }
    }

    /// Queues a record, or drops and counts it.
    pub fn write_record(&self, record: &Record) {
        let now = Instant::now();
        let line = json_line(&self.node, now - self.started, record);
        let is_failure = record.level() <= Level::Warn;
        // No holder panics in the middle of an update.
        let mut budget = self.budget.lock().unwrap_or_else(|e| e.into_inner());
        if !budget.try_take(line.len() + 1, is_failure, now) {
            return;
        }
        let dropped = budget.take_dropped();
        if dropped > 0 && !self.enqueue_drop_count(dropped, now) {
            budget.add_dropped(dropped);
        }
        if !self.try_enqueue(line) {
            budget.add_dropped(1);
        }
    }

    /// Queues a line for the writer thread; returns false if the queue is full.
    fn try_enqueue(&self, line: String) -> bool {
        self.pending.fetch_add(1, Ordering::Relaxed);
        let is_queued = self.lines.try_send(line).is_ok();
        if !is_queued {
            self.pending.fetch_sub(1, Ordering::Relaxed);
        }
        is_queued
    }

    /// Queues a line with the number of dropped lines; returns false if the queue is full.
    fn enqueue_drop_count(&self, dropped: u64, now: Instant) -> bool {
        let fields = [("count", dropped)];
        let mut builder = Record::builder();
        builder.level(Level::Warn).key_values(&fields);
        let line = json_line(
            &self.node,
            now - self.started,
            &builder.args(format_args!("log: lines left out")).build(),
        );
        self.try_enqueue(line)
    }
}

fn write_all(queue: &Receiver<String>, mut out: impl Write, pending: &AtomicUsize) {
    for line in queue {
        // A closed standard output must not stop the process.
        let _ = writeln!(out, "{line}");
        let _ = out.flush();
        pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record) -> io::Result<()> {
        self.write_record(record);
        Ok(())
    }
    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
    fn max_log_level(&self) -> LevelFilter {
        LevelFilter::Trace
    }
    /// Waits briefly until the queued lines are written.
    fn shutdown(&self) {
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while self.pending.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
    }
}
