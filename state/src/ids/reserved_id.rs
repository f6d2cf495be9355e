use {
    super::{BoxName, Incarnation},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

const SEPARATOR: char = '.';
const PARTS: usize = 4;

/// Identifier of a request that runs at most once.
///
/// It is bound to one process at one target, so that no other process can run the request,
/// and contains a random part that cannot be guessed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReservedId {
    pub target: BoxName,
    pub incarnation: Incarnation,
    /// Sequence number within the incarnation, starting at 0.
    pub number: u64,
    pub secret: u64,
}

/// A text that is not a reserved id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is no reserved id, expected TARGET.INCARNATION.NUMBER.SECRET")]
pub struct ReservedIdError {
    pub text: String,
}

impl fmt::Display for ReservedId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:x}.{:x}.{:x}",
            self.target, self.incarnation, self.number, self.secret
        )
    }
}

impl FromStr for ReservedId {
    type Err = ReservedIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let err = || ReservedIdError {
            text: text.to_string(),
        };
        // Box names may contain the separator.
        let parts: Vec<&str> = text.rsplitn(PARTS, SEPARATOR).collect();
        let [secret, number, incarnation, target] = parts[..] else {
            return Err(err());
        };
        if target.is_empty() {
            return Err(err());
        }
        let hex = |part| u64::from_str_radix(part, 16).map_err(|_| err());
        Ok(Self {
            target: target.to_string(),
            incarnation: hex(incarnation)?,
            number: hex(number)?,
            secret: hex(secret)?,
        })
    }
}
