use {
    super::{Refusal, TargetReport},
    chalkcart_state::ids::{AdapterName, Sequence, VersionNumber},
    serde::{Deserialize, Serialize},
};

/// Content of a numbered frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FrameBody {
    Token(String),
    /// The complete response of a plain service.
    Body(Vec<u8>),
    /// End of a complete token stream, with the adapter version that generated it.
    Finished {
        adapter: AdapterName,
        version: VersionNumber,
    },
    /// End of an incomplete stream.
    Refused(Refusal),
}

impl FrameBody {
    /// Whether this frame ends its stream.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Token(_))
    }
    /// Returns the approximate size of the content in memory.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Token(text) => text.len(),
            Self::Body(body) => body.len(),
            Self::Finished { .. } | Self::Refused(_) => 0,
        }
    }
}

/// A frame of the stream that a sidecar sends to an entry for one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// State of the target, also sent to keep the stream alive; not numbered.
    Report(TargetReport),
    Numbered {
        sequence: Sequence,
        body: FrameBody,
    },
}
