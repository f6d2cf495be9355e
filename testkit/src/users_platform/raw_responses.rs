//! Responses of which a test sets each byte.

use {
    super::backend_stand_in::BackendState,
    crate::serving::lock,
    anyhow::{bail, Result},
    std::{sync::Mutex, time::Duration},
    tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep},
};

/// Stands for the id of the request in the bytes of a response.
const REQUEST_ID: &str = "{id}";

/// What becomes of the connection after the bytes of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RawEnd {
    /// The connection is closed.
    #[default]
    Close,
    /// The connection is reset.
    Reset,
    /// The connection stays open and waits for the next request.
    Keep,
}

/// A response as it is sent, byte by byte.
#[derive(Debug, Clone, Default)]
pub struct RawResponse {
    /// The bytes; `{id}` stands for the id of the request.
    pub text: String,
    /// Only this many of them are sent; `None` for all.
    pub cut_at: Option<usize>,
    /// Bytes sent at once and the time between two sends; `None` for all at once.
    pub parts: Option<(usize, Duration)>,
    pub end: RawEnd,
}

impl RawResponse {
    pub fn new(text: impl Into<String>) -> Self {
        Self {
            text: text.into(),
            ..Self::default()
        }
    }
}

/// Sends the response that a test has set.
pub async fn send_raw(
    socket: &mut TcpStream,
    state: &Mutex<BackendState>,
    request: &str,
) -> Result<()> {
    let response = lock(state).raw_response.clone();
    let text = response.text.replace(REQUEST_ID, request);
    let bytes = text.as_bytes();
    let bytes = &bytes[..response.cut_at.unwrap_or(usize::MAX).min(bytes.len())];
    let (size, pause) = response.parts.unwrap_or((usize::MAX, Duration::ZERO));
    for part in bytes.chunks(size) {
        socket.write_all(part).await?;
        sleep(pause).await;
    }
    match response.end {
        RawEnd::Keep => return Ok(()),
        RawEnd::Close => {}
        RawEnd::Reset => socket.set_zero_linger()?,
    }
    bail!("connection closed after the bytes that were set")
}
