use super::{EndCause, EventScanner, Framing, ResponseEnd, StreamPosition, Verdict};

/// Bytes of the longest event; the longest that engines are known to send has some hundred.
const MAX_EVENT_BYTES: usize = 60 * 1024;

/// How far the response of one back end has come.
#[derive(Debug, Clone)]
pub struct ResponseProgress {
    framing: Framing,
    /// Bytes of the body so far.
    body_bytes: u64,
    /// Present if the body is a stream of events.
    events: Option<EventScanner>,
}

impl ResponseProgress {
    pub fn new(framing: Framing, is_event_stream: bool) -> Self {
        Self {
            framing,
            body_bytes: 0,
            events: is_event_stream.then(EventScanner::default),
        }
    }

    /// Takes bytes of the body.
    pub fn on_data(&mut self, bytes: &[u8]) {
        self.body_bytes = self.body_bytes.saturating_add(bytes.len() as u64);
        if let Some(events) = &mut self.events {
            events.take_all(bytes);
        }
    }

    /// Returns whether the present event is longer than any sound one.
    pub fn is_event_too_long(&self) -> bool {
        let events = self.events.as_ref();
        events.is_some_and(|events| events.block_bytes() > MAX_EVENT_BYTES)
    }

    /// Returns what an end at this point means.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(self.framing, self.position(), self.body_bytes)
    }

    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Returns what was seen of a response that ends at this point.
    pub fn ended(&self, cause: EndCause) -> ResponseEnd {
        ResponseEnd {
            framing: self.framing,
            cause,
            position: self.position(),
            body_bytes: self.body_bytes,
        }
    }

    /// Returns the position within the events; `None` if the body is no stream of events.
    pub fn position(&self) -> Option<StreamPosition> {
        self.events.as_ref().map(EventScanner::position)
    }
}
