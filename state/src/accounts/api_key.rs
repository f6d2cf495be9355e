use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
    thiserror::Error,
};

/// Longest key accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

const DIGEST_BYTES: usize = 32;

/// SHA-256 of an API key, stored and sent in place of the key. The duration of a lookup by
/// digest leaks nothing about the keys in a table.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ApiKeyDigest([u8; DIGEST_BYTES]);

/// Why a text is not a valid API key. The text is left out, as it may be a mistyped key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ApiKeyError {
    #[error("no key")]
    Absent,
    #[error("more than one key")]
    Several,
    #[error("an empty key")]
    Empty,
    #[error("a key of over {MAX_KEY_BYTES} bytes")]
    TooLong,
    #[error("a key that is not of visible ASCII")]
    NotVisible,
}

impl ApiKeyDigest {
    /// Hashes a key.
    ///
    /// # Errors
    /// The text is empty, too long, or contains bytes other than visible ASCII.
    pub fn of(key: &[u8]) -> Result<Self, ApiKeyError> {
        if key.is_empty() {
            return Err(ApiKeyError::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(ApiKeyError::TooLong);
        }
        if !key.iter().all(u8::is_ascii_graphic) {
            return Err(ApiKeyError::NotVisible);
        }
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&Sha256::digest(key));
        Ok(Self(bytes))
    }
}

/// Hides the digest, since a short key could be found from it by brute force.
impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKeyDigest(..)")
    }
}
