use {chalkcart_state::ingress::PartId, std::time::Duration};

/// Upper bound on the changes that are kept until they are taken.
const MAX_CHANGES: usize = 256;

/// What a process learnt about a part of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartChange {
    pub part: PartId,
    pub kind: PartChangeKind,
    /// Whether this process saw it itself.
    pub is_own: bool,
    /// Time from the event until this process knew.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartChangeKind {
    /// An engine crashed under runs with the part; `life` is a hash of its incarnation.
    Crash { life: u64, is_early: bool },
    /// A run with the part did well.
    DidWell,
    /// So many crashes are enough to block the part.
    Suspected { crashes: usize },
    /// They are not enough any more.
    Released,
}

impl PartChangeKind {
    /// Returns the name in log lines.
    pub fn code(self) -> &'static str {
        match self {
            Self::Crash { .. } => "crash",
            Self::DidWell => "did_well",
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
