use super::{Framing, StreamPosition};

/// Whether a response that ended without an error is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Whole,
    BrokenOff,
}

impl Verdict {
    /// Judges an end by the framing of the body, its bytes so far and the position in its events;
    /// the position is `None` if the body has another format.
    ///
    /// An engine may crash inside an event, whatever its framing. The end of a connection tells
    /// something about the bytes before it only: right after a head, before any event or any
    /// byte, nothing shows that the engine meant to end there. After some bytes, or between two
    /// events, it may be a crash too, but nothing shows it.
    pub fn of(framing: Framing, position: Option<StreamPosition>, body_bytes: u64) -> Self {
        match (framing, position) {
            (_, Some(StreamPosition::InsideEvent)) => Verdict::BrokenOff,
            (Framing::Connection, Some(StreamPosition::Start)) => Verdict::BrokenOff,
            (Framing::Connection, None) if body_bytes == 0 => Verdict::BrokenOff,
            _ => Verdict::Whole,
        }
    }
}
