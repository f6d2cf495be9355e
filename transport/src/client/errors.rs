use {
    std::{fmt, net::SocketAddr},
    thiserror::Error,
};

/// The step at which a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientStep {
    /// No connection was made, so the peer has not seen the call.
    Connect,
    /// The peer's box is up and refused the connection: no process listens on the port.
    Refused,
    /// The request may have reached the peer.
    Send,
    /// The response ended early.
    Receive,
    /// The response can't be decoded.
    Decode,
    /// The peer's build does not serve the path.
    UnknownPath,
}

/// A failed call, with the step and the peer.
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
    /// Returns whether the peer can't have acted on the call.
    pub fn proves_not_sent(&self) -> bool {
        matches!(self.step, ClientStep::Connect | ClientStep::Refused)
    }
    /// Returns whether the peer's build does not serve the path, which lasts until it is replaced.
    pub fn is_unsupported_by_peer(&self) -> bool {
        self.step == ClientStep::UnknownPath
    }
    /// Returns whether no process listens at the peer's address.
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
