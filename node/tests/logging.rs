//! Log output is bounded and never blocks the process.

use {
    chalkcart_node::logging::{BoundedWriter, LineBudget, BYTES_PER_SECOND},
    log::{Level, Record},
    std::{
        io::{self, Write},
        sync::{
            mpsc::{channel, Receiver, Sender},
            Arc, Mutex,
        },
        time::{Duration, Instant},
    },
};

/// Blocks writes until it is released.
struct BlockingWriter {
    release: Receiver<()>,
    is_blocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.is_blocked {
            // an error means that the test has ended
            let _ = self.release.recv();
            self.is_blocked = false;
        }
        self.written.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocking_writer() -> (BlockingWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (release_sender, release) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = BlockingWriter {
        release,
        is_blocked: true,
        written: written.clone(),
    };
    (out, release_sender, written)
}

fn log_line(writer: &BoundedWriter, text: &str) {
    let mut builder = Record::builder();
    builder.level(Level::Info);
    writer.write_record(&builder.args(format_args!("part: {text}")).build());
}

#[test]
fn a_blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (out, release, output) = blocking_writer();
    let writer = BoundedWriter::start("node-1", out);
    let mut total: u64 = 5_000;
    for number in 0..total {
        // would hang if logging blocked on the output
        log_line(&writer, &format!("line {number}"));
    }
    release.send(()).unwrap();
    let deadline = Instant::now() + Duration::from_secs(60);
    loop {
        log_line(&writer, "after the gap");
        total += 1;
        std::thread::sleep(Duration::from_millis(5));
        let (written, dropped) = count_lines(&output);
        // each line is either written or counted as dropped
        if dropped > 0 && written + dropped == total {
            assert!(written < 3_000, "{written} of {total}");
            return;
        }
        assert!(
            Instant::now() < deadline,
            "{written} written, {dropped} dropped, {total} logged"
        );
    }
}

/// Returns the numbers of lines written and of lines reported as dropped.
fn count_lines(output: &Mutex<Vec<u8>>) -> (u64, u64) {
    let text = String::from_utf8(output.lock().unwrap().clone()).unwrap();
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let (mut written, mut dropped) = (0, 0);
    for line in complete.lines() {
        let parsed: serde_json::Value = serde_json::from_str(line).unwrap();
        match parsed["count"].as_u64() {
            Some(count) => dropped += count,
            None => written += 1,
        }
    }
    (written, dropped)
}

#[test]
fn output_rate_is_bounded_and_failures_are_dropped_last() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let (line, seconds) = (200usize, 20u64);
    let mut written = 0;
    for tick in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(tick);
        written += (0..10)
            .filter(|_| budget.try_take(line, false, now))
            .count()
            * line;
    }
    let max = BYTES_PER_SECOND * (seconds as f64 + 2.0);
    assert!((written as f64) <= max, "{written} of {max}");
    let now = start + Duration::from_secs(seconds);
    while budget.try_take(line, false, now) {}
    assert!(!budget.try_take(line, false, now));
    assert!(
        budget.try_take(line, true, now),
        "a failure is still written"
    );
    assert!(budget.take_dropped() > 0);
    assert_eq!(budget.take_dropped(), 0);
}
