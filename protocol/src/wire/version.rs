use std::{fmt, str::FromStr};

/// Header in which both sides of a call send their wire version; builds before 4 send none.
pub const PEER_VERSION: &str = "peer-version";

/// Version of the message formats between processes.
///
/// It increases with each change of a message's format, and the new bytes are recorded under
/// `protocol/tests/recorded/`. Versions 1 to 3 are the builds 2205e90, fc8906b and f7a7cb2,
/// which do not send a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WireVersion(pub u32);

impl WireVersion {
    /// Version of this build.
    pub const CURRENT: Self = Self(11);
}

/// A text that is not a wire version.
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
