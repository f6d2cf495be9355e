use super::Framing;

/// What ended the bytes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// Its framing: the declared length or the last chunk was reached.
    Framing,
    /// The back end closed the connection.
    Closed,
    /// The connection was reset, or failed in another way.
    Reset,
    /// Bytes that the protocol doesn't allow there, or events that can't follow.
    Invalid,
    /// A bound on the bytes of the response or of one event.
    TooLong,
    /// This process: the deadline passed or the client left.
    Local,
}

impl EndCause {
    /// Returns what ended a response that was read without an error.
    pub const fn of_complete(framing: Framing) -> Self {
        match framing {
            Framing::Length | Framing::Chunks => EndCause::Framing,
            Framing::Connection => EndCause::Closed,
        }
    }

    /// Returns the name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            EndCause::Framing => "framing",
            EndCause::Closed => "closed",
            EndCause::Reset => "reset",
            EndCause::Invalid => "invalid",
            EndCause::TooLong => "too_long",
            EndCause::Local => "local",
        }
    }
}
