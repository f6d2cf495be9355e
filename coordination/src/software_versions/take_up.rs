use {
    super::VersionMix, chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::backends::SoftwareVersion,
};

/// What the search for the origin of a stream found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginSearch {
    Found(StreamOrigin),
    /// Sidecars were asked and don't know it.
    NotKept,
    /// Too few of them answered, or the client did not name the stream.
    Unanswered,
}

/// Where a stream that a client takes up may go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeUp {
    /// At any engine: the service's versions are not told apart.
    Anywhere,
    /// At engines of this version.
    At(SoftwareVersion),
    /// Nowhere: the version that began it is not known.
    Unknown,
}

impl OriginSearch {
    /// Returns the name in logs.
    pub fn code(&self) -> &'static str {
        match self {
            OriginSearch::Found(_) => "found",
            OriginSearch::NotKept => "not_kept",
            OriginSearch::Unanswered => "unanswered",
        }
    }

    /// Returns the result of asking sidecars none of which knew the origin.
    pub fn without_origin(asked: usize, answered: usize) -> Self {
        match answered > 0 && 2 * answered >= asked {
            true => OriginSearch::NotKept,
            false => OriginSearch::Unanswered,
        }
    }
}

impl TakeUp {
    /// Decides by what is known of the origin of the stream, and by the versions of the service that
    /// may have begun it.
    ///
    /// An engine that was used before it was listed may run a version that no list has had.
    pub fn decide(search: &OriginSearch, mix: &VersionMix) -> Self {
        let origin = match search {
            OriginSearch::Found(origin) => Some(&origin.version),
            OriginSearch::NotKept | OriginSearch::Unanswered => None,
        };
        match (origin, mix) {
            (Some(Some(version)), _) => TakeUp::At(version.clone()),
            (_, VersionMix::Unnamed) => TakeUp::Anywhere,
            (None, VersionMix::One(version)) => TakeUp::At(version.clone()),
            (Some(None), _) | (None, VersionMix::Several | VersionMix::NotKnown) => TakeUp::Unknown,
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
