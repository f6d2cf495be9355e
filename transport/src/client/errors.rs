use {
    std::{fmt, net::SocketAddr},
    thiserror::Error,
};

/// how far a call came
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientStep {
    /// no connection: the peer has seen nothing
    Connect,
    /// the same, as nobody listens there: its machine lives, and said so
    Refused,
    /// the request may have reached the peer
    Send,
    /// the answer broke off
    Receive,
    /// the answer can't be read
    Decode,
    /// the peer's build does not know the path
    UnknownPath,
}

/// a call that failed, with the step and the peer
#[derive(Debug, Clone, Error)]
#[error("{step} {peer}: {detail}")]
pub struct ClientError {
    pub step: ClientStep,
    pub peer: SocketAddr,
    pub detail: String,
}

impl ClientError {
    pub fn new(step: ClientStep, peer: SocketAddr, cause: impl fmt::Display) -> Self {
        Self {
            step,
            peer,
            detail: cause.to_string(),
        }
    }
    /// the peer can't have acted on the call
    pub fn proves_not_sent(&self) -> bool {
        matches!(self.step, ClientStep::Connect | ClientStep::Refused)
    }
    /// the peer's build does not know this matter, and will not until it is replaced
    pub fn is_unsupported_by_peer(&self) -> bool {
        self.step == ClientStep::UnknownPath
    }
    /// nobody listens at the peer's address
    pub fn proves_no_listener(&self) -> bool {
        self.step == ClientStep::Refused
    }
}

impl fmt::Display for ClientStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect | Self::Refused => "connect to",
            Self::Send => "send to",
            Self::Receive => "receive from",
            Self::Decode => "decode from",
            Self::UnknownPath => "path not known at",
        })
    }
}
