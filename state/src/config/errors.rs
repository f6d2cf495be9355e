use {
    crate::ids::{Digest, Generation},
    thiserror::Error,
};

/// why a configuration, or a change of it, was refused
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// a value that can't be served
    #[error("{key}: {value} is not allowed, expected {expected}")]
    BadValue {
        key: String,
        value: String,
        expected: String,
    },
    /// a shard whose content is not the one that the root document names
    #[error("shard {index} has digest {found}, expected {expected}")]
    WrongShard {
        index: usize,
        found: Digest,
        expected: Digest,
    },
    /// an operator built on a configuration that is no longer the newest
    #[error("built on generation {base}, but generation {current} is in force")]
    StaleBase {
        base: Generation,
        current: Generation,
    },
}

impl ConfigError {
    pub fn bad(
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
