use {
    super::EngineStatus,
    chalkcart_state::ids::{Fence, Incarnation},
};

/// Whether this process controls its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceState {
    /// The engine's status has to be read before any order is sent.
    Unknown,
    /// Orders carry this incarnation and fence.
    Held {
        incarnation: Incarnation,
        fence: Fence,
    },
    /// A newer process controls the engine. This state is final.
    Superseded,
}

/// What to do after reading an engine's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceAction {
    /// Request the engine to accept this fence.
    Take {
        incarnation: Incarnation,
        fence: Fence,
    },
    /// Keep the current fence.
    Keep,
    /// Stop controlling the engine permanently.
    Stop,
}

/// Distance between two fences of one process. The remainder modulo this is the process's
/// tag, so that two processes never choose the same fence.
const FENCE_STEP: Fence = 1 << 20;

/// Chooses and tracks this process's fence.
///
/// The fence is chosen once, above the engine's fence in the first status that is read. If
/// two processes compete for a restarted engine, the later process wins in any order of
/// events.
#[derive(Debug)]
pub struct FenceController {
    state: FenceState,
    /// Lower bound of the fence: the start time in ms, so that a later process has a higher
    /// fence even after the engine has restarted.
    epoch: Fence,
    /// Low bits of each fence of this process.
    tag: Fence,
    fence: Option<Fence>,
}

impl FenceController {
    /// Creates a controller from the start time in ms and a random tag.
    pub fn new(epoch: Fence, tag: Fence) -> Self {
        Self {
            state: FenceState::Unknown,
            epoch,
            tag: tag % FENCE_STEP,
            fence: None,
        }
    }
    pub fn state(&self) -> FenceState {
        self.state
    }
    pub fn is_superseded(&self) -> bool {
        self.state == FenceState::Superseded
    }

    /// Decides what to do about the engine's fence, given its status.
    pub fn on_status(&mut self, status: &EngineStatus) -> FenceAction {
        if self.is_superseded() {
            return FenceAction::Stop;
        }
        let fence = *self.fence.get_or_insert_with(|| {
            self.epoch.max(status.fence / FENCE_STEP + 1) * FENCE_STEP + self.tag
        });
        if status.fence > fence {
            self.state = FenceState::Superseded;
            return FenceAction::Stop;
        }
        let held = FenceState::Held {
            incarnation: status.incarnation,
            fence,
        };
        if self.state == held && status.fence == fence {
            return FenceAction::Keep;
        }
        FenceAction::Take {
            incarnation: status.incarnation,
            fence,
        }
    }

    /// Records that the engine accepted the fence.
    pub fn on_accepted(&mut self, incarnation: Incarnation, fence: Fence) {
        if !self.is_superseded() {
            self.state = FenceState::Held { incarnation, fence };
        }
    }

    /// Discards what is known of the engine and raises the fence, so that orders still in
    /// flight are rejected. A later process keeps a higher fence, since fences start at the
    /// clock in ms and rise by only one step per call.
    pub fn invalidate(&mut self) {
        if self.is_superseded() || self.state == FenceState::Unknown {
            return;
        }
        self.state = FenceState::Unknown;
        if let Some(fence) = &mut self.fence {
            *fence += FENCE_STEP;
        }
    }
}
