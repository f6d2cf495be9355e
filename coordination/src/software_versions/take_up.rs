use {
    super::VersionMix, chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::backends::SoftwareVersion,
};

/// Where a stream that a client takes up may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeUp {
    /// At any engine: no other version may have begun it.
    Anywhere,
    /// At engines of this version.
    At(SoftwareVersion),
    /// Nowhere: the version that began it is not known.
    Unknown,
}

impl TakeUp {
    /// Decides by the origin of the stream, if it is known, and by the versions of the service.
    ///
    /// Streams are recorded only while several versions serve. One without a record began before
    /// that, or its records are lost.
    pub fn decide(origin: Option<&StreamOrigin>, mix: &VersionMix) -> Self {
        match (origin, mix) {
            (Some(origin), _) => TakeUp::At(origin.version.clone()),
            (None, VersionMix::One) => TakeUp::Anywhere,
            (None, VersionMix::Several { former }) => match former {
                Some(version) => TakeUp::At(version.clone()),
                None => TakeUp::Unknown,
            },
        }
    }

    /// Returns the name in logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            TakeUp::Anywhere => "anywhere",
            TakeUp::At(_) => "at_version",
            TakeUp::Unknown => "unknown",
        }
    }
}
