//! the log is bounded and never waits for its reader

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

/// takes no byte until it is told to
struct StuckReader {
    go_on: Receiver<()>,
    is_stuck: bool,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for StuckReader {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if self.is_stuck {
            // an error says that the test is over
            let _ = self.go_on.recv();
            self.is_stuck = false;
        }
        self.seen.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stuck_reader() -> (StuckReader, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (unstick, go_on) = channel();
    let seen = Arc::new(Mutex::new(Vec::new()));
    let reader = StuckReader {
        go_on,
        is_stuck: true,
        seen: seen.clone(),
    };
    (reader, unstick, seen)
}

fn put(writer: &BoundedWriter, text: &str) {
    let mut builder = Record::builder();
    builder.level(Level::Info);
    writer.put(&builder.args(format_args!("part: {text}")).build());
}

#[test]
fn a_reader_that_does_not_read_holds_nothing_up_and_the_gap_is_counted() {
    let (reader, unstick, seen) = stuck_reader();
    let writer = BoundedWriter::start("node-1", reader).unwrap();
    for number in 0..5_000 {
        // this would hang if a line waited for its reader
        put(&writer, &format!("line {number}"));
    }
    unstick.send(()).unwrap();
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        put(&writer, "after the gap");
        let text = String::from_utf8(seen.lock().unwrap().clone()).unwrap();
        if text.contains("lines left out") {
            let lines: Vec<&str> = text.lines().collect();
            assert!(lines.len() < 2_000, "{} lines", lines.len());
            let counted = lines.iter().find(|l| l.contains("lines left out")).unwrap();
            let parsed: serde_json::Value = serde_json::from_str(counted).unwrap();
            assert!(parsed["count"].as_u64().unwrap() > 3_000, "{counted}");
            return;
        }
        assert!(Instant::now() < end, "no count: {text}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn no_more_bytes_a_second_than_stated_and_failures_go_last() {
    let start = Instant::now();
    let mut budget = LineBudget::new(start);
    let (line, seconds) = (200usize, 20u64);
    let mut written = 0;
    for tick in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(tick);
        written += (0..10).filter(|_| budget.take(line, false, now)).count() * line;
    }
    let most = BYTES_PER_SECOND * (seconds as f64 + 2.0);
    assert!((written as f64) <= most, "{written} of {most}");
    let now = start + Duration::from_secs(seconds);
    while budget.take(line, false, now) {}
    assert!(!budget.take(line, false, now));
    assert!(budget.take(line, true, now), "a failure still goes");
    assert!(budget.take_left_out() > 0);
    assert_eq!(budget.take_left_out(), 0);
}
