use std::mem;

/// How the head of another response begins.
const HEAD_START: &[u8] = b"HTTP/";
/// Place of the first digit of the status in a head.
const STATUS_AT: usize = 9;
/// Most bytes of a body that are kept until its length is known.
const MAX_KEPT: usize = 16 * 1024;

/// Follows the bytes of one response, to see what comes after the end that its head declares.
///
/// More bytes than a length says show that the length is not the one of the body, unless they are
/// another response: faulty back ends send these too. Bytes that arrive after the body was read tell
/// nothing.
#[derive(Debug)]
pub enum DeclaredEnd {
    Head(HeadScan),
    /// The start of the body, whose length isn't known yet.
    Body(Vec<u8>),
    /// Bytes of the body that are still to come, and the first ones beyond it.
    Length {
        left: u64,
        beyond: Vec<u8>,
    },
    /// Something other than a length ends the body.
    Unknown,
}

/// Looks for the end of a head.
#[derive(Debug, Default)]
pub struct HeadScan {
    bytes: usize,
    line_bytes: usize,
    is_informational: bool,
}

impl HeadScan {
    /// Takes a byte; returns whether it ends the head of a final response.
    fn is_ended_by(&mut self, byte: u8) -> bool {
        let is_line_end = matches!(byte, b'\r' | b'\n');
        if self.bytes == 0 && is_line_end {
            return false;
        }
        if self.bytes == STATUS_AT {
            self.is_informational = byte == b'1';
        }
        self.bytes += 1;
        if !is_line_end {
            self.line_bytes += 1;
            return false;
        }
        if byte == b'\r' || mem::take(&mut self.line_bytes) > 0 {
            return false;
        }
        !mem::take(self).is_informational
    }
}

impl Default for DeclaredEnd {
    fn default() -> Self {
        Self::Head(HeadScan::default())
    }
}

impl DeclaredEnd {
    /// Takes bytes that arrived.
    pub fn on_read(&mut self, bytes: &[u8]) {
        match self {
            Self::Head(head) => {
                let ends_at = bytes.iter().position(|byte| head.is_ended_by(*byte));
                if let Some(at) = ends_at {
                    *self = Self::Body(bytes[at + 1..].to_vec());
                }
            }
            Self::Body(start) if start.len() < MAX_KEPT => start.extend_from_slice(bytes),
            Self::Body(_) => *self = Self::Unknown,
            Self::Length { left, beyond } => {
                let of_body = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= of_body as u64;
                keep_first(beyond, &bytes[of_body..]);
            }
            Self::Unknown => {}
        }
    }

    /// Takes the length that the head declares; `None` if something else ends the body.
    pub fn declare(&mut self, length: Option<u64>) {
        let before = mem::replace(self, Self::Unknown);
        if let (Self::Body(start), Some(left)) = (before, length) {
            let beyond = Vec::new();
            *self = Self::Length { left, beyond };
            self.on_read(&start);
        }
    }

    /// Returns whether more of the body came than its head declares.
    pub fn is_exceeded(&self) -> bool {
        match self {
            Self::Length { beyond, .. } => !HEAD_START.starts_with(beyond),
            Self::Head(_) | Self::Body(_) | Self::Unknown => false,
        }
    }
}

/// Keeps enough of the bytes beyond a body to tell another response; line ends may stand before it.
fn keep_first(beyond: &mut Vec<u8>, bytes: &[u8]) {
    for byte in bytes {
        let is_line_end = matches!(byte, b'\r' | b'\n');
        if beyond.len() < HEAD_START.len() && !(beyond.is_empty() && is_line_end) {
            beyond.push(*byte);
        }
    }
}
