//! What a process takes from its machine as it starts: it waits while the machine has none to give.

use {
    super::panics::panic_text,
    std::{
        io,
        panic::{catch_unwind, AssertUnwindSafe},
        sync::{Arc, Mutex},
        thread::{sleep, Builder},
        time::Duration,
    },
};

/// Pauses between two attempts: the first, and the longest.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Time between two log lines about something that can't be had.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Something that a thread runs.
pub type Run = Box<dyn FnOnce() + Send>;

/// Tries until it succeeds. A panic counts as a failure, since libraries panic on some of these.
pub fn until_had<T>(what: &str, mut attempt: impl FnMut() -> io::Result<T>) -> T {
    let (mut pause, longest) = PAUSES;
    // the pauses since the last log line
    let mut unlogged: Option<Duration> = None;
    loop {
        let tried = catch_unwind(AssertUnwindSafe(&mut attempt));
        let tried = tried.unwrap_or_else(|panic| {
            let text = panic_text(panic.as_ref()).to_string();
            Err(io::Error::other(text))
        });
        let e = match tried {
            Ok(had) => return had,
            Err(e) => e,
        };
        if unlogged.is_none_or(|paused| paused >= LOG_INTERVAL) {
            unlogged = Some(Duration::ZERO);
            log::warn!(cause = e.to_string().as_str(); "start: waits for {what}");
        }
        unlogged = unlogged.map(|paused| paused + pause);
        sleep(pause);
        pause = (pause * 2).min(longest);
    }
}

/// Starts a thread that the process can't do without. `stack` is its size in bytes, if it isn't the
/// usual one.
pub fn start_thread(name: &str, stack: Option<usize>, run: impl FnOnce() + Send + 'static) {
    let spawn = |run: Run| {
        let mut builder = Builder::new().name(name.to_string());
        if let Some(bytes) = stack {
            builder = builder.stack_size(bytes);
        }
        builder.spawn(run).map(drop)
    };
    start_thread_by(name, spawn, Box::new(run));
}

/// Does the same with another way to start a thread, which loses what it was given if it fails.
pub fn start_thread_by(name: &str, mut spawn: impl FnMut(Run) -> io::Result<()>, run: Run) {
    let kept = Arc::new(Mutex::new(Some(run)));
    until_had(&format!("the thread {name}"), || {
        let kept = kept.clone();
        spawn(Box::new(move || {
            // no holder panics
            let run = kept.lock().unwrap_or_else(|e| e.into_inner()).take();
            if let Some(run) = run {
                run();
            }
        }))
    });
}
