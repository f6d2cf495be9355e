use {
    crate::ids::Digest,
    serde::Serialize,
    sha2::{Digest as _, Sha256},
};

/// Returns the digest of a document's canonical JSON: fields in declaration order, without
/// white space.
pub fn digest_of<T: Serialize>(document: &T) -> Digest {
    let canonical = serde_json::to_vec(document).unwrap_or_default();
    hex::encode(Sha256::digest(&canonical))
}

/// Returns the index of the shard that an adapter's name hashes to.
pub fn shard_index(adapter: &str, shard_count: usize) -> usize {
    let hash = Sha256::digest(adapter.as_bytes());
    let mut head = [0u8; 8];
    head.copy_from_slice(&hash[..8]);
    (u64::from_be_bytes(head) % shard_count.max(1) as u64) as usize
}
