use super::{request_digest::DIGEST_BYTES, PartId, RequestDigest};

/// First bytes of a digest that stands for a part. The digest of a request begins with them by
/// chance once in 2^56.
const PREFIX: [u8; 7] = *b"\0part\0\0";
const EARLY: u8 = 0;
const LATE: u8 = 1;

/// The record of crashes under a part of prompts: of those that came early in a run, or of the
/// others.
///
/// It is written as a digest of a request, so that builds which know of requests only pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PartRecord {
    pub part: PartId,
    pub is_early: bool,
}

impl PartRecord {
    /// Returns both records of a part.
    pub fn both(part: PartId) -> [Self; 2] {
        [true, false].map(|is_early| Self { part, is_early })
    }

    /// Returns the part's record that a digest stands for; `None` for the digest of a request.
    pub fn of(digest: &RequestDigest) -> Option<Self> {
        let (kind, id) = digest.bytes().strip_prefix(&PREFIX)?.split_first()?;
        let id = u64::from_be_bytes(id.try_into().ok()?);
        Some(Self {
            part: PartId(id),
            is_early: *kind == EARLY,
        })
    }

    pub fn digest(&self) -> RequestDigest {
        let kind = if self.is_early { EARLY } else { LATE };
        let mut bytes = [0; DIGEST_BYTES];
        bytes[..7].copy_from_slice(&PREFIX);
        bytes[7] = kind;
        bytes[8..].copy_from_slice(&self.part.0.to_be_bytes());
        RequestDigest::from_bytes(bytes)
    }
}
