use {
    super::panic_text,
    crate::clock,
    chalkcart_coordination::recovery::{AfterFault, FaultSettings, FaultWindow},
    std::panic::{catch_unwind, AssertUnwindSafe},
};

/// The outcome of one step of a guarded thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step<T> {
    Done(T),
    /// It panicked, and the thread goes on with the next one.
    Failed,
    /// It panicked, as too many did before it: the thread must end.
    GaveUp,
}

/// Keeps the panic of one step from ending its thread.
#[derive(Debug)]
pub struct Guard {
    thread: &'static str,
    faults: FaultWindow,
}

impl Guard {
    /// `thread` names the thread in logs.
    pub fn new(thread: &'static str, settings: FaultSettings) -> Self {
        Self {
            thread,
            faults: FaultWindow::new(settings),
        }
    }

    /// Runs one step. `doing` says in the log what it was about.
    pub fn step<T>(&mut self, doing: &str, step: impl FnOnce() -> T) -> Step<T> {
        // the state may be changed in part; each step must bear that
        let result = catch_unwind(AssertUnwindSafe(step));
        let panic = match result {
            Ok(done) => return Step::Done(done),
            Err(panic) => panic,
        };
        let after = self.faults.on_fault(clock::now());
        log::error!(
            thread = self.thread,
            doing = doing,
            problem = panic_text(panic.as_ref()),
            gives_up = after == AfterFault::GiveUp;
            "process: a step failed"
        );
        match after {
            AfterFault::GoOn => Step::Failed,
            AfterFault::GiveUp => Step::GaveUp,
        }
    }
}
