use {
    super::VersionMix, chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::backends::SoftwareVersion,
};

/// What the search for the origin of a stream found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginSearch {
    Found(StreamOrigin),
    /// Sidecars that would know it were asked and don't.
    NotKept,
    /// Too few of them answered, or the client did not name the stream.
    Unanswered,
}

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

impl OriginSearch {
    /// Returns the result of asking sidecars none of which knew the origin.
    pub fn without_origin(asked: usize, answered: usize) -> Self {
        match answered > 0 && 2 * answered >= asked {
            true => OriginSearch::NotKept,
            false => OriginSearch::Unanswered,
        }
    }
}

impl TakeUp {
    /// Decides by what is known of the origin of the stream, and by the versions of the service.
    ///
    /// Origins are kept while several versions serve, and from the start of that on for the streams
    /// that run then. Shortly after, one that is not kept may be of before.
    pub fn decide(search: &OriginSearch, mix: &VersionMix) -> Self {
        match (search, mix) {
            (OriginSearch::Found(origin), mix) => match (&origin.version, mix) {
                (Some(version), _) => TakeUp::At(version.clone()),
                (None, VersionMix::One) => TakeUp::Anywhere,
                (None, VersionMix::Several { .. }) => TakeUp::Unknown,
            },
            (_, VersionMix::One) => TakeUp::Anywhere,
            (OriginSearch::NotKept, VersionMix::Several { former }) => match former {
                Some(version) => TakeUp::At(version.clone()),
                None => TakeUp::Unknown,
            },
            (OriginSearch::Unanswered, VersionMix::Several { .. }) => TakeUp::Unknown,
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
