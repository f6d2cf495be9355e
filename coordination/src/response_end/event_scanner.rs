use memchr::memchr2;

/// Position within a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamPosition {
    /// No event has begun yet.
    Start,
    InsideEvent,
    /// All events that have begun are complete.
    BetweenEvents,
}

impl StreamPosition {
    /// Returns the name in logs and metrics.
    pub const fn code(self) -> &'static str {
        match self {
            StreamPosition::Start => "start",
            StreamPosition::InsideEvent => "inside_event",
            StreamPosition::BetweenEvents => "between_events",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Line {
    Empty,
    Comment,
    Field,
}

/// Finds the ends of blocks in a `text/event-stream`, whose bytes may arrive in any parts.
///
/// A block ends with an empty line. One that has a field is an event; complete lines of comments
/// alone are none. Lines end with CR, LF or CRLF.
#[derive(Debug, Clone)]
pub struct EventScanner {
    /// The line so far.
    line: Line,
    /// Whether the last byte was a CR; an LF that follows belongs to the same line end.
    is_after_cr: bool,
    /// Whether a complete line of the current block is a field.
    has_field: bool,
    has_event: bool,
    /// Bytes of the current block so far.
    block_bytes: usize,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            line: Line::Empty,
            is_after_cr: false,
            has_field: false,
            has_event: false,
            block_bytes: 0,
        }
    }
}

impl EventScanner {
    /// Takes bytes up to the end of the current block, and returns their number; takes all and
    /// returns `None` if the block goes on. An LF after the CR that ended a block counts as a
    /// block of its own.
    pub fn take_block(&mut self, bytes: &[u8]) -> Option<usize> {
        let taken = self.find_block_end(bytes);
        self.block_bytes = match taken {
            Some(_) => 0,
            None => self.block_bytes + bytes.len(),
        };
        taken
    }

    /// Returns the bytes of the current block so far.
    pub fn block_bytes(&self) -> usize {
        self.block_bytes
    }

    fn find_block_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut taken = 0;
        if self.is_after_cr && bytes.first() == Some(&b'\n') {
            self.is_after_cr = false;
            taken = 1;
            if self.is_block_empty() {
                return Some(taken);
            }
        }
        while let Some(length) = memchr2(b'\n', b'\r', &bytes[taken..]) {
            self.extend_line(&bytes[taken..taken + length]);
            taken += length + 1;
            self.is_after_cr = bytes[taken - 1] == b'\r';
            if self.end_line() {
                return Some(taken);
            }
            if self.is_after_cr && bytes.get(taken) == Some(&b'\n') {
                self.is_after_cr = false;
                taken += 1;
            }
        }
        self.extend_line(&bytes[taken..]);
        None
    }

    /// Takes all bytes.
    pub fn take_all(&mut self, mut bytes: &[u8]) {
        while let Some(taken) = self.take_block(bytes) {
            bytes = &bytes[taken..];
        }
    }

    pub fn position(&self) -> StreamPosition {
        if self.has_field || self.line != Line::Empty {
            return StreamPosition::InsideEvent;
        }
        match self.has_event {
            true => StreamPosition::BetweenEvents,
            false => StreamPosition::Start,
        }
    }

    /// Returns whether the current block has no event so far.
    fn is_block_empty(&self) -> bool {
        !self.has_field && self.line == Line::Empty
    }

    fn extend_line(&mut self, bytes: &[u8]) {
        let Some(first) = bytes.first() else {
            return;
        };
        self.is_after_cr = false;
        if self.line == Line::Empty {
            self.line = match first {
                b':' => Line::Comment,
                _ => Line::Field,
            };
        }
    }

    /// Ends a line; returns whether that ends the block.
    fn end_line(&mut self) -> bool {
        let line = std::mem::replace(&mut self.line, Line::Empty);
        if line != Line::Empty {
            self.has_field |= line == Line::Field;
            return false;
        }
        self.has_event |= self.has_field;
        self.has_field = false;
        true
    }
}
