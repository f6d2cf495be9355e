use {
    super::{Refusal, TargetReport},
    chalkcart_state::ids::{AdapterName, Sequence, VersionNumber},
    serde::{Deserialize, Serialize},
};

/// content of a numbered frame
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    Token(String),
    /// the whole answer of a plain service
    Body(Vec<u8>),
    /// the end of a whole stream of tokens, with what the engine ran
    Finished {
        adapter: AdapterName,
        version: VersionNumber,
    },
    /// the end of a stream that is not whole
    Refused(Refusal),
}

impl FrameBody {
    /// nothing follows it
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Token(_))
    }
    /// memory that it holds, roughly
    pub fn bytes(&self) -> usize {
        match self {
            Self::Token(text) => text.len(),
            Self::Body(body) => body.len(),
            Self::Finished { .. } | Self::Refused(_) => 0,
        }
    }
}

/// what flows from a sidecar to an entry for one request
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// the target lives, and this is its state; not numbered
    Report(TargetReport),
    Numbered {
        sequence: Sequence,
        body: FrameBody,
    },
}
