use {
    super::{EventBlock, EventId, NotResumed},
    crate::response_end::{EventScanner, Verdict},
};

/// Bytes of an incomplete event that are held back. A stream with a larger event is passed on
/// as it arrives and is not resumed.
pub const MAX_HELD_BYTES: usize = 32 * 1024;

/// What follows from received bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pushed {
    /// Bytes to pass on to the client.
    pub passed: Vec<u8>,
    /// Why the rest of this engine's stream must not be passed on.
    pub fault: Option<NotResumed>,
}

/// What follows from the end of an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEnd {
    /// The response is complete after these bytes.
    Complete(Vec<u8>),
    /// The stream broke off.
    Cut,
}

/// Assembles one response from the event streams of one or more engines.
///
/// Bytes are passed on in complete events, so that a cut never leaves a partial event at the
/// client. The events of a later engine are passed on only if they follow the last one that
/// the client has, and so is the first event for a client that takes its stream up.
#[derive(Debug, Clone)]
pub struct EventAssembler {
    /// Received bytes of the incomplete event.
    held: Vec<u8>,
    /// Number of bytes of `held` that were scanned.
    scanned: usize,
    scanner: EventScanner,
    /// The last event that the client has.
    last: Option<EventId>,
    /// Whether each id so far was the previous one plus 1.
    is_dense: bool,
    /// Whether a further engine continues the stream.
    is_continuation: bool,
    /// Whether the current engine has sent an event.
    has_event: bool,
    /// Why the stream can't be resumed.
    off: Option<NotResumed>,
}

impl EventAssembler {
    /// Starts a response to a client that has the events up to `last` from an earlier one.
    pub fn new(last: Option<EventId>) -> Self {
        Self {
            held: Vec::new(),
            scanned: 0,
            scanner: EventScanner::default(),
            last,
            is_dense: true,
            is_continuation: false,
            has_event: false,
            off: None,
        }
    }

    /// Takes bytes of the current engine's stream.
    pub fn push(&mut self, bytes: &[u8]) -> Pushed {
        self.held.extend_from_slice(bytes);
        if self.off.is_some() {
            return self.pass(self.held.len());
        }
        let mut block_start = 0;
        while let Some(taken) = self.scanner.take_block(&self.held[self.scanned..]) {
            self.scanned += taken;
            let block = EventBlock::read(&self.held[block_start..self.scanned]);
            if let Err(fault) = self.on_event(block) {
                let passed = self.held[..block_start].to_vec();
                let fault = Some(fault);
                return Pushed { passed, fault };
            }
            block_start = self.scanned;
        }
        self.scanned = self.held.len();
        if self.held.len() - block_start > MAX_HELD_BYTES {
            if self.is_unverified() {
                let passed = self.held[..block_start].to_vec();
                let fault = Some(NotResumed::EventTooLarge);
                return Pushed { passed, fault };
            }
            self.off = Some(NotResumed::EventTooLarge);
        }
        match self.off {
            Some(_) => self.pass(self.held.len()),
            None => self.pass(block_start),
        }
    }

    /// Handles the end of the current engine's response.
    pub fn end(&mut self, verdict: Verdict) -> StreamEnd {
        match verdict {
            Verdict::Whole => StreamEnd::Complete(self.pass(self.held.len()).passed),
            Verdict::BrokenOff => StreamEnd::Cut,
        }
    }

    /// Drops the incomplete event of a stream that was cut, and returns the last event that
    /// the client has; `None` if the request must be repeated from its start.
    ///
    /// # Errors
    /// The stream can't be resumed.
    pub fn cut(&mut self) -> Result<Option<EventId>, NotResumed> {
        self.held.clear();
        self.scanned = 0;
        match self.off {
            Some(cause) => Err(cause),
            None => Ok(self.last),
        }
    }

    /// Starts the stream of the engine that continues after `cut`.
    pub fn start_continuation(&mut self) {
        self.held.clear();
        self.scanned = 0;
        self.scanner = EventScanner::default();
        self.is_continuation = true;
        self.has_event = false;
    }

    /// Returns whether the current engine has sent a complete event.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether the current engine has not shown yet that it continues the stream.
    fn is_unverified(&self) -> bool {
        self.is_continuation && !self.has_event
    }

    /// Checks a complete event.
    ///
    /// # Errors
    /// The event doesn't continue the stream and must not be passed on.
    fn on_event(&mut self, block: EventBlock) -> Result<(), NotResumed> {
        if !block.is_event || self.off.is_some() {
            return Ok(());
        }
        let Some(id) = block.id else {
            return self.on_irregular(NotResumed::EventWithoutId);
        };
        if self.last.is_some_and(|last| id <= last) {
            return self.on_irregular(NotResumed::IdNotRising);
        }
        let is_next = self.last.is_none_or(|last| id == last.saturating_add(1));
        if self.is_unverified() && self.is_dense && !is_next {
            return Err(NotResumed::IdsSkipped);
        }
        self.is_dense &= is_next;
        self.last = Some(id);
        self.has_event = true;
        Ok(())
    }

    /// An event of the first engine is passed on whatever its id, as without recovery, unless it
    /// is the first for a client that has earlier ones.
    fn on_irregular(&mut self, cause: NotResumed) -> Result<(), NotResumed> {
        let is_first_after_others = !self.has_event && self.last.is_some();
        if self.is_continuation || is_first_after_others {
            return Err(cause);
        }
        self.off = Some(cause);
        Ok(())
    }

    fn pass(&mut self, count: usize) -> Pushed {
        let rest = self.held.split_off(count);
        let passed = std::mem::replace(&mut self.held, rest);
        self.scanned = self.held.len();
        Pushed {
            passed,
            fault: None,
        }
    }
}
