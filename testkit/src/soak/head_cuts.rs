use {
    crate::users_platform::BackendFault,
    chalkcart_coordination::response_end::Framing,
    rand::{rngs::StdRng, RngExt},
};

/// More bytes than any head has: the connection ends right after the head.
const WHOLE_HEAD: usize = 4_096;
/// Bytes of a head of these back ends, about.
const HEAD_BYTES: usize = 140;

/// How a back end ends its connection in the head of its response, or right after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadCut {
    pub bytes: usize,
    pub framing: Framing,
    pub is_reset: bool,
}

impl HeadCut {
    pub(super) fn random(rng: &mut StdRng) -> Self {
        let framings = [Framing::Length, Framing::Chunks, Framing::Connection];
        let bytes = match rng.random() {
            true => WHOLE_HEAD,
            false => rng.random_range(0..HEAD_BYTES),
        };
        Self {
            bytes,
            framing: framings[rng.random_range(0..framings.len())],
            is_reset: rng.random(),
        }
    }

    pub(super) fn fault(&self) -> BackendFault {
        match self.is_reset {
            true => BackendFault::ResetInHead(self.bytes, self.framing),
            false => BackendFault::CutHead(self.bytes, self.framing),
        }
    }
}
