use bytes::{Bytes, BytesMut};

/// Keeps the last byte of an incomplete event back where the client knows the length of the
/// body: it would take the response as whole with that byte.
#[derive(Debug, Default)]
pub struct LastByte(Option<u8>);

impl LastByte {
    /// Returns what may be passed on once `data` has arrived.
    pub fn pass(&mut self, data: &Bytes, is_inside_event: bool) -> Bytes {
        let mut buf = BytesMut::with_capacity(data.len() + 1);
        buf.extend(self.0.take());
        buf.extend_from_slice(data);
        if is_inside_event {
            self.0 = buf.last().copied();
            buf.truncate(buf.len().saturating_sub(1));
        }
        buf.freeze()
    }
}
