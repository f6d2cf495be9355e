use std::fmt::{self, Display, Formatter};

/// Number of a store's era: it rises each time the store returns with an older state. 0 if the
/// store names none.
pub type StoreEra = u64;

/// A position in the platform's store.
///
/// A store that returns with an older state gives revisions out again, so revisions compare
/// within an era only, and each position of a later era is later.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StorePosition {
    pub era: StoreEra,
    pub revision: u64,
}

impl StorePosition {
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
    /// Returns the position this many revisions earlier in the same era.
    pub fn back_by(self, revisions: u64) -> Self {
        Self {
            revision: self.revision.saturating_sub(revisions),
            ..self
        }
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.revision)
    }
}
