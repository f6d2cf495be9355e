use super::{Framing, StreamPosition};

/// Whether a response that ended without an error is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Whole,
    BrokenOff,
}

impl Verdict {
    /// Judges an end by the framing of the body and by the position in its events; the position
    /// is `None` if the body has another format.
    ///
    /// An engine may crash inside an event, whatever its framing. A connection that closes
    /// between two events may be a crash too, but nothing shows it.
    pub fn of(framing: Framing, position: Option<StreamPosition>) -> Self {
        match (framing, position) {
            (_, Some(StreamPosition::InsideEvent)) => Verdict::BrokenOff,
            (Framing::Connection, Some(StreamPosition::Start)) => Verdict::BrokenOff,
            _ => Verdict::Whole,
        }
    }
}
