use {
    sha2::{Digest, Sha256},
    std::{
        fmt::{self, Display, Formatter},
        sync::Arc,
    },
};

/// The shared parts of a prompt, in order and without the last one, which is the request's own.
pub type SharedParts = Arc<[PartId]>;

/// Identifies a part of a prompt, whichever requests and client accounts share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

impl PartId {
    /// Returns the number that a hexadecimal id states. Any other id is replaced by a hash of it.
    pub fn of(id: &str) -> Self {
        Self(u64::from_str_radix(id, 16).unwrap_or_else(|_| {
            let hash = Sha256::digest(id);
            let bytes = hash.iter().take(size_of::<u64>());
            bytes.fold(0, |id, byte| id << 8 | u64::from(*byte))
        }))
    }
}

impl Display for PartId {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Returns the ids of parts as one text for log lines.
pub fn part_list(parts: &[PartId]) -> String {
    let ids: Vec<String> = parts.iter().map(ToString::to_string).collect();
    ids.join(",")
}
