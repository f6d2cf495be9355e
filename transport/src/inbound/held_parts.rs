use {super::Blocks, bytes::Bytes, chalkcart_coordination::overload::HeldResponse};

/// The parts of a body that were read so far, and the memory that they take.
#[derive(Debug)]
pub struct HeldParts {
    held: HeldResponse,
    blocks: Blocks,
}

impl HeldParts {
    pub fn new(held: HeldResponse) -> Self {
        Self {
            held,
            blocks: Blocks::default(),
        }
    }

    /// Takes a part, which may be as short as a byte; returns false if there is no room for more.
    pub fn push(&mut self, part: &[u8]) -> bool {
        self.blocks.push(part);
        self.held.hold(part.len())
    }

    /// Removes the first block; `None` if nothing is left.
    pub fn pop(&mut self) -> Option<Bytes> {
        self.blocks.pop()
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns all parts as one.
    pub fn into_bytes(self) -> Bytes {
        self.blocks.into_bytes()
    }
}
