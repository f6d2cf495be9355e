use super::EventId;

/// The fields of one event block that recovery needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventBlock {
    /// The event's id; `None` if it has none or one that is not a number.
    pub id: Option<EventId>,
    /// Whether the block has an id or data. Comments and other fields are no event.
    pub is_event: bool,
}

impl EventBlock {
    /// Reads a block of the `text/event-stream` format, up to and including its empty line.
    pub fn read(block: &[u8]) -> Self {
        let mut id = None;
        let mut is_event = false;
        for line in block.split(|b| matches!(b, b'\n' | b'\r')) {
            let colon = line.iter().position(|b| *b == b':');
            let (name, value) = match colon {
                Some(at) => (&line[..at], &line[at + 1..]),
                None => (line, &line[line.len()..]),
            };
            match name {
                b"id" => {
                    id = parse_id(value);
                    is_event = true;
                }
                b"data" => is_event = true,
                _ => {}
            }
        }
        Self { id, is_event }
    }
}

fn parse_id(value: &[u8]) -> Option<EventId> {
    let value = value.strip_prefix(b" ").unwrap_or(value);
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number)?;
    text.parse().ok()
}
