use {
    bytes::{Bytes, BytesMut},
    std::collections::VecDeque,
};

/// Bytes of a block. Blocks of one size leave no gaps in memory, as a growing buffer would.
const BLOCK_BYTES: usize = 8 * 1024;

/// Bytes that were read so far, copied from the buffers into which they were read.
#[derive(Debug, Default)]
pub struct Blocks {
    full: VecDeque<Bytes>,
    last: BytesMut,
    len: usize,
}

impl Blocks {
    /// Takes a part, which may be as short as a byte.
    pub fn push(&mut self, part: &[u8]) {
        for piece in part.chunks(BLOCK_BYTES) {
            if self.last.len() + piece.len() > BLOCK_BYTES {
                let full = std::mem::take(&mut self.last);
                self.full.push_back(full.freeze());
            }
            self.last.extend_from_slice(piece);
        }
        self.len += part.len();
    }

    /// Removes the first block; `None` if nothing is left.
    pub fn pop(&mut self) -> Option<Bytes> {
        let block = self.full.pop_front();
        let block =
            block.or_else(|| (!self.last.is_empty()).then(|| self.last.split().freeze()))?;
        self.len -= block.len();
        Some(block)
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns all bytes as one.
    pub fn into_bytes(mut self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        while let Some(block) = self.pop() {
            whole.extend_from_slice(&block);
        }
        whole.freeze()
    }
}
