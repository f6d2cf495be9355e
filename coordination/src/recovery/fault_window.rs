use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Bounds of the faults that a thread outlives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultSettings {
    /// Faults within the window from which on the thread gives up.
    pub max_faults: usize,
    pub window: Duration,
}

impl Default for FaultSettings {
    fn default() -> Self {
        Self {
            max_faults: 20,
            window: Duration::from_secs(10),
        }
    }
}

/// What a thread does after a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterFault {
    /// It leaves out what failed and goes on.
    GoOn,
    /// Its state is damaged, so that nearly all that it does fails: it ends, and its process with
    /// it.
    GiveUp,
}

/// The recent faults of one thread.
///
/// One event that fails says nothing about the next, and what failed may come again for as long as
/// it stands in the store; a process that ended for it would serve nobody. Many in a short time
/// show that the thread serves nobody as it is.
#[derive(Debug, Clone, Default)]
pub struct FaultWindow {
    settings: FaultSettings,
    faults: VecDeque<Instant>,
}

impl FaultWindow {
    pub fn new(settings: FaultSettings) -> Self {
        Self {
            settings,
            faults: VecDeque::new(),
        }
    }

    pub fn on_fault(&mut self, now: Instant) -> AfterFault {
        let window = self.settings.window;
        self.faults.push_back(now);
        self.faults
            .retain(|at| now.saturating_duration_since(*at) < window);
        match self.faults.len() >= self.settings.max_faults {
            true => AfterFault::GiveUp,
            false => AfterFault::GoOn,
        }
    }
}
