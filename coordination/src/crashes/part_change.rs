use {chalkcart_state::ingress::PartId, std::time::Duration};

/// Upper bound on the changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

/// What a process learnt about a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PartChange {
    pub part: PartId,
    pub kind: PartChangeKind,
    /// Whether this process saw it itself.
    pub is_own: bool,
    /// Time from the event until this process knew.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PartChangeKind {
    /// An engine crashed under runs with the part, the longest of which had been written for so
    /// long and sent so long before; `life` is a hash of its incarnation.
    Crash {
        life: u64,
        written: Duration,
        sent_for: Duration,
    },
    /// A run with the part lived longer than those; `None` if its response is complete.
    DidWell { written: Option<Duration> },
    /// So many crashes are enough to block the part, with so many good runs since the first and
    /// this logarithm of the ratio of their likelihoods, by the part and by other causes.
    Suspected {
        crashes: usize,
        good_runs: f64,
        log_ratio: f64,
    },
    /// They are not enough any more.
    Released,
}

impl PartChangeKind {
    /// Returns the name in log lines.
    pub fn code(self) -> &'static str {
        match self {
            Self::Crash { .. } => "crash",
            Self::DidWell { .. } => "did_well",
            Self::Suspected { .. } => "suspected",
            Self::Released => "released",
        }
    }
}

/// The newest changes, until they are taken.
#[derive(Debug, Default)]
pub struct PartChanges {
    changes: Vec<PartChange>,
    left_out: u64,
}

impl PartChanges {
    pub fn push(&mut self, change: PartChange) {
        match self.changes.len() < MAX_CHANGES {
            true => self.changes.push(change),
            false => self.left_out += 1,
        }
    }

    /// Returns the changes since the last call, and the number of those that were left out.
    pub fn take(&mut self) -> (Vec<PartChange>, u64) {
        let changes = std::mem::take(&mut self.changes);
        (changes, std::mem::take(&mut self.left_out))
    }
}
