use {chalkcart_state::ids::Sequence, std::collections::BTreeMap, thiserror::Error};

/// the sender is too far ahead of a missing item
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("item {missing} is missing and {held} later ones are held")]
pub struct AssemblerError {
    pub missing: Sequence,
    pub held: usize,
}

/// puts late, repeated and out-of-order items back in order
#[derive(Debug)]
pub struct Assembler<T> {
    next: Sequence,
    early: BTreeMap<Sequence, T>,
    max_early: usize,
}

impl<T> Assembler<T> {
    /// `from` is the first item wanted
    pub fn new(from: Sequence, max_early: usize) -> Self {
        Self {
            next: from,
            early: BTreeMap::new(),
            max_early,
        }
    }
    /// the first item not yet given out
    pub fn next(&self) -> Sequence {
        self.next
    }
    /// whether items were received that can't be given out yet
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }
    /// take an item in, and give out what is now in order
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
