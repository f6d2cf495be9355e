/// What marks the end of a response body (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The number of bytes that the head declares, or none by its status or the request's method.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which closes at a failure as well.
    Connection,
}

impl Framing {
    /// Returns the name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}
