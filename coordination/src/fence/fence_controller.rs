use {
    super::EngineStatus,
    chalkcart_state::ids::{Fence, Incarnation},
};

/// whether this process drives its engine
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceState {
    /// the engine must be read before any order
    Unknown,
    /// orders carry this pair
    Held {
        incarnation: Incarnation,
        fence: Fence,
    },
    /// a newer process drives the engine; this one never will again
    Superseded,
}

/// what to do after reading an engine
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceAction {
    /// ask the engine to take this pair
    Take {
        incarnation: Incarnation,
        fence: Fence,
    },
    /// nothing changed
    Keep,
    /// stop for good
    Stop,
}

/// distance between two fences of one process; the rest of the division by it
/// is the process's own, so that two processes never choose the same fence
const STEP: Fence = 1 << 20;

/// holds this process's fence.
///
/// The fence is chosen once for the life of the process: at the first read,
/// one above the engine's. So when two processes meet at an engine that
/// restarted, the later one wins in whatever order they come.
#[derive(Debug)]
pub struct FenceController {
    state: FenceState,
    /// lower bound of the own fence: the start time, so that a later process
    /// is higher even if the engine forgot
    epoch: Fence,
    /// the low bits of each fence of this process
    tag: Fence,
    own: Option<Fence>,
}

impl FenceController {
    /// `epoch` is the start time in ms, `tag` a random number
    pub fn new(epoch: Fence, tag: Fence) -> Self {
        Self {
            state: FenceState::Unknown,
            epoch,
            tag: tag % STEP,
            own: None,
        }
    }
    pub fn state(&self) -> FenceState {
        self.state
    }
    pub fn is_superseded(&self) -> bool {
        self.state == FenceState::Superseded
    }

    /// decide on what the engine said
    pub fn on_status(&mut self, status: &EngineStatus) -> FenceAction {
        if self.is_superseded() {
            return FenceAction::Stop;
        }
        let own = *self
            .own
            .get_or_insert_with(|| self.epoch.max(status.fence / STEP + 1) * STEP + self.tag);
        if status.fence > own {
            self.state = FenceState::Superseded;
            return FenceAction::Stop;
        }
        let held = FenceState::Held {
            incarnation: status.incarnation,
            fence: own,
        };
        if self.state == held && status.fence == own {
            return FenceAction::Keep;
        }
        FenceAction::Take {
            incarnation: status.incarnation,
            fence: own,
        }
    }

    /// the engine took the pair
    pub fn on_accepted(&mut self, incarnation: Incarnation, fence: Fence) {
        if !self.is_superseded() {
            self.state = FenceState::Held { incarnation, fence };
        }
    }

    /// something is not known any more: read again, and leave whatever order
    /// is still on its way behind a higher fence. A later process stays above,
    /// since it starts with the clock and an earlier one raises by one step
    /// for each doubt
    pub fn invalidate(&mut self) {
        if self.is_superseded() || self.state == FenceState::Unknown {
            return;
        }
        self.state = FenceState::Unknown;
        if let Some(own) = &mut self.own {
            *own += STEP;
        }
    }
}
