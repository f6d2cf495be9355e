use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt::{self, Display, Formatter},
};

/// 128 bits make a collision among a million requests negligible, at about 1e-27.
pub(super) const DIGEST_BYTES: usize = 16;

/// Digest of a request's method, target, caller and body. Retries of a request have the same
/// digest in every process, whatever their request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// `target` is the path with its query, `caller` the client account, or empty if requests
    /// carry no key.
    pub fn of(method: &str, target: &str, caller: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [method.as_bytes(), target.as_bytes(), caller.as_bytes()] {
            // The length prefix keeps the boundaries of the parts unambiguous.
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let hash = hasher.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&hash[..DIGEST_BYTES]);
        Self(bytes)
    }

    pub(super) fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }
    pub(super) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Display for RequestDigest {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}
