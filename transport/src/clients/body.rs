use {
    super::HeldRequest,
    crate::{clock::before_deadline, inbound::Blocks},
    bytes::{Buf, Bytes},
    http_body::Body,
    http_body_util::BodyExt,
    std::time::Instant,
    thiserror::Error,
};

/// Why a request's body is not there. It was not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyFault {
    #[error("body too large")]
    TooLarge,
    #[error("no room for the body")]
    NoRoom,
    #[error("body not received in time")]
    Late,
    #[error("body not received")]
    Broken,
}

/// Reads a body to its end, and lets the process hold it.
///
/// What has arrived is copied: a part that is kept as it is keeps the whole buffer into which it
/// was read, also if it has one byte.
///
/// # Errors
/// Fails beyond `max_bytes`, without room, at the deadline, or if the body is broken off.
pub async fn read_whole<B>(
    body: B,
    held: &HeldRequest,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyFault>
where
    B: Body + Unpin,
    B::Data: Buf,
{
    let read = read_parts(body, held, max_bytes);
    let bytes = before_deadline(deadline, read).await;
    let bytes = bytes.map_err(|_| BodyFault::Late)??;
    held.complete();
    Ok(bytes)
}

async fn read_parts<B>(
    mut body: B,
    held: &HeldRequest,
    max_bytes: usize,
) -> Result<Bytes, BodyFault>
where
    B: Body + Unpin,
    B::Data: Buf,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyFault::TooLarge);
    }
    let mut whole = Blocks::default();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            _ = held.gives_way() => return Err(BodyFault::NoRoom),
        };
        let Some(frame) = frame else {
            return Ok(whole.into_bytes());
        };
        let frame = frame.map_err(|_| BodyFault::Broken)?;
        // trailers are not passed on
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.remaining() > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        held.hold(data.remaining()).map_err(|_| BodyFault::NoRoom)?;
        while data.has_remaining() {
            let part = data.chunk();
            whole.push(part);
            let taken = part.len();
            data.advance(taken);
        }
    }
}
