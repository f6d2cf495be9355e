use {
    crate::ids::{Digest, Generation},
    thiserror::Error,
};

/// Why a configuration, or a change to it, was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    #[error("{key}: {value} is not allowed, expected {expected}")]
    BadValue {
        key: String,
        value: String,
        expected: String,
    },
    /// The shard's content does not match the digest in the root document.
    #[error("shard {index} has digest {found}, expected {expected}")]
    WrongShard {
        index: usize,
        found: Digest,
        expected: Digest,
    },
    /// The change is based on a generation that is no longer current.
    #[error("built on generation {base}, but generation {current} is in force")]
    StaleBase {
        base: Generation,
        current: Generation,
    },
}

impl ConfigError {
    pub fn bad_value(
        key: impl Into<String>,
        value: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self::BadValue {
            key: key.into(),
            value: value.into(),
            expected: expected.into(),
        }
    }
}
