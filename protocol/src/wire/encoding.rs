use super::WireVersion;

/// How frames and messages to a peer are encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WireEncoding {
    /// Frames without field names, for a peer of the same wire version. Frames are frequent, so
    /// their size matters.
    Positional,
    /// With field names. Decoders ignore unknown fields and use the default of missing ones.
    Named,
    /// Like `Named`, with back end ids as plain text, for builds up to 2205e90.
    NamedTextIds,
}

impl WireEncoding {
    pub const ALL: [Self; 3] = [Self::Positional, Self::Named, Self::NamedTextIds];

    /// Returns the encoding for a peer of this wire version; builds that send no version decode
    /// field names.
    pub fn for_peer(version: Option<WireVersion>) -> Self {
        match version {
            Some(WireVersion::CURRENT) => Self::Positional,
            Some(_) | None => Self::Named,
        }
    }

    pub fn index(self) -> usize {
        self as usize
    }
}
