use {
    super::{BoxName, Incarnation},
    std::{fmt, str::FromStr},
    thiserror::Error,
};

const SEPARATOR: char = '.';
const PARTS: usize = 4;

/// the id of a request that must not be repeated.
///
/// It is bound to one process at one target, so that no other process can
/// run it, and carries a random part, so that nobody can guess it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReservedId {
    pub target: BoxName,
    pub incarnation: Incarnation,
    /// counted from 0 within the incarnation
    pub number: u64,
    pub secret: u64,
}

/// a text that is no reserved id
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
        // box names may hold separators themselves, so split from the right
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
