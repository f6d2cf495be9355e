use {
    bytes::{Bytes, BytesMut},
    chalkcart_coordination::overload::HeldResponse,
    std::collections::VecDeque,
};

/// Bytes of a block. Blocks of one size leave no gaps in memory, as a growing buffer would.
const BLOCK_BYTES: usize = 8 * 1024;

/// The parts of a body that were read so far, and the memory that they take.
#[derive(Debug)]
pub struct HeldParts {
    held: HeldResponse,
    blocks: VecDeque<Bytes>,
    last: BytesMut,
}

impl HeldParts {
    pub fn new(held: HeldResponse) -> Self {
        Self {
            held,
            blocks: VecDeque::new(),
            last: BytesMut::new(),
        }
    }

    /// Takes a part, which may be as short as a byte; returns false if there is no room for more.
    pub fn push(&mut self, part: &[u8]) -> bool {
        for piece in part.chunks(BLOCK_BYTES) {
            if self.last.len() + piece.len() > BLOCK_BYTES {
                let full = std::mem::take(&mut self.last);
                self.blocks.push_back(full.freeze());
            }
            self.last.extend_from_slice(piece);
        }
        self.held.hold(part.len())
    }

    /// Removes the first block; `None` if nothing is left.
    pub fn pop(&mut self) -> Option<Bytes> {
        let block = self.blocks.pop_front();
        block.or_else(|| (!self.last.is_empty()).then(|| self.last.split().freeze()))
    }

    pub fn len(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum::<usize>() + self.last.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns all parts as one.
    pub fn into_bytes(mut self) -> Bytes {
        if self.blocks.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len());
        while let Some(block) = self.pop() {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}
