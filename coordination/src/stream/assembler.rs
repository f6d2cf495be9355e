use {chalkcart_state::ids::Sequence, std::collections::BTreeMap, thiserror::Error};

/// Too many items were received after a missing one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("item {missing} is missing and {held} later ones are held")]
pub struct AssemblerError {
    pub missing: Sequence,
    pub held: usize,
}

/// Restores the order of a sequence of items that arrive late, repeatedly or out of order.
#[derive(Debug)]
pub struct Assembler<T> {
    next: Sequence,
    early: BTreeMap<Sequence, T>,
    max_early: usize,
}

impl<T> Assembler<T> {
    /// `first` is the sequence number of the first item to return, `max_early` the number of
    /// items that may be held after a missing one.
    pub fn new(first: Sequence, max_early: usize) -> Self {
        Self {
            next: first,
            early: BTreeMap::new(),
            max_early,
        }
    }
    /// Returns the sequence number of the first item not yet returned.
    pub fn next(&self) -> Sequence {
        self.next
    }
    /// Returns whether items are held after a missing one.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }
    /// Accepts an item, and returns all items that are now in order.
    pub fn accept(&mut self, sequence: Sequence, item: T) -> Result<Vec<T>, AssemblerError> {
        if sequence >= self.next {
            self.early.entry(sequence).or_insert(item);
        }
        let mut ready = Vec::new();
        while let Some(item) = self.early.remove(&self.next) {
            ready.push(item);
            self.next += 1;
        }
        if self.early.len() > self.max_early {
            return Err(AssemblerError {
                missing: self.next,
                held: self.early.len(),
            });
        }
        Ok(ready)
    }
}
