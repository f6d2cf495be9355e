use super::WireVersion;

/// how frames and messages to one peer are written
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WireEncoding {
    /// Frames without the names of fields, for a peer of the same shapes: they go out many
    /// times a second.
    Positional,
    /// With names. Readers pass over fields that they don't know, and take the meaning that
    /// is written at a field where it is missing.
    Named,
    /// the same for the builds up to 2205e90, which know a back end's life by a text
    NamedTextIds,
}

impl WireEncoding {
    pub const ALL: [Self; 3] = [Self::Positional, Self::Named, Self::NamedTextIds];

    /// for a peer that says this version of itself; a landed one says none, and reads names
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
