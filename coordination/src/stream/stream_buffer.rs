use {chalkcart_protocol::peer::FrameBody, chalkcart_state::ids::Sequence};

/// Frames of one request's response, kept so that an interrupted stream can be resumed.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    frames: Vec<FrameBody>,
    bytes: usize,
}

impl StreamBuffer {
    pub fn new() -> Self {
        Self::default()
    }
    /// Appends a frame; returns false if the stream has already ended.
    pub fn push(&mut self, body: FrameBody) -> bool {
        if self.is_ended() {
            return false;
        }
        self.bytes += body.size_bytes();
        self.frames.push(body);
        true
    }
    pub fn is_ended(&self) -> bool {
        self.frames.last().is_some_and(FrameBody::is_last)
    }
    pub fn get(&self, sequence: Sequence) -> Option<&FrameBody> {
        self.frames.get(usize::try_from(sequence).ok()?)
    }
    pub fn len(&self) -> usize {
        self.frames.len()
    }
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }
    /// Returns the approximate memory use.
    pub fn bytes(&self) -> usize {
        self.bytes + self.frames.len() * size_of::<FrameBody>()
    }
}
