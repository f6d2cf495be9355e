use {
    serde::{Deserialize, Deserializer, Serialize, Serializer},
    sha2::{Digest, Sha256},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

const BYTES: usize = 32;

/// SHA-256 of an adapter's weights, written as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WeightsDigest([u8; BYTES]);

/// A text that is not a digest.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is no digest, expected 64 hexadecimal digits")]
pub struct WeightsDigestError {
    pub text: String,
}

impl WeightsDigest {
    /// Hashes the content of a weights file.
    pub fn of(content: &[u8]) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&Sha256::digest(content));
        Self(bytes)
    }
}

impl fmt::Display for WeightsDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl FromStr for WeightsDigest {
    type Err = WeightsDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; BYTES];
        let decoded = hex::decode_to_slice(text, &mut bytes);
        decoded.map_err(|_| WeightsDigestError {
            text: text.to_string(),
        })?;
        Ok(Self(bytes))
    }
}

impl Serialize for WeightsDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for WeightsDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
