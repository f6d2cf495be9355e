use {chalkcart_protocol::peer::FrameBody, chalkcart_state::ids::Sequence};

/// the frames of one request, kept so that a broken stream can be resumed
#[derive(Debug, Default)]
pub struct StreamBuffer {
    frames: Vec<FrameBody>,
    bytes: usize,
}

impl StreamBuffer {
    pub fn new() -> Self {
        Self::default()
    }
    /// add a frame; nothing follows a last frame
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
    /// memory held, roughly
    pub fn bytes(&self) -> usize {
        self.bytes + self.frames.len() * size_of::<FrameBody>()
    }
}
