use std::{fmt, str::FromStr};

/// header by which each side of a call says its wire version; builds before 4 send none
pub const PEER_VERSION: &str = "peer-version";

/// Number of the shapes of all messages between processes; a build has one.
///
/// It rises with each change of a message's shape, whose bytes are then recorded under
/// `protocol/tests/recorded/`. 1 to 3 are the builds 2205e90, fc8906b and f7a7cb2, which
/// do not say theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireVersion(pub u32);

impl WireVersion {
    /// of this build
    pub const CURRENT: Self = Self(5);
}

/// a text that is no wire version
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no wire version")]
pub struct WireVersionError(String);

impl FromStr for WireVersion {
    type Err = WireVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.trim().parse();
        number
            .map(Self)
            .map_err(|_| WireVersionError(text.to_string()))
    }
}

impl fmt::Display for WireVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
