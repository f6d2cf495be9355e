//! Responses of which one part has no end.

use {
    super::backend_stand_in::BackendState,
    crate::serving::lock,
    anyhow::{bail, Result},
    std::sync::Mutex,
    tokio::{io::AsyncWriteExt, net::TcpStream},
};

/// Bytes written at once.
const WRITE_BYTES: usize = 4 * 1024;

/// The part of a response that has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessPart {
    /// The value of a header.
    HeaderValue,
    /// Headers.
    Headers,
    /// Heads with status 103 before the response.
    InformationalHeads,
    /// A body in chunks.
    Chunks,
    /// A body that ends with its connection.
    Body,
    /// The zeros of a chunk's size.
    ChunkSize,
    /// The spaces after a chunk's size.
    ChunkSizeSpaces,
    /// The extensions of a chunk.
    ChunkExtensions,
    /// One event of a stream.
    Event,
    /// Complete events of a stream.
    Events,
    Trailers,
}

impl EndlessPart {
    pub const ALL: [Self; 11] = [
        Self::HeaderValue,
        Self::Headers,
        Self::InformationalHeads,
        Self::Chunks,
        Self::Body,
        Self::ChunkSize,
        Self::ChunkSizeSpaces,
        Self::ChunkExtensions,
        Self::Event,
        Self::Events,
        Self::Trailers,
    ];

    /// Returns whether the bytes are data of a body.
    pub fn is_body(self) -> bool {
        matches!(self, Self::Chunks | Self::Body | Self::Events)
    }

    /// Returns what is sent once, after the headers of a response, and what is repeated.
    fn parts(self) -> (&'static str, String) {
        let chunked = "Transfer-Encoding: chunked\r\n\r\n";
        let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
        match self {
            Self::HeaderValue => ("Filler: ", "x".to_string()),
            Self::Headers => ("", "Filler: xxxxxxxxxxxxxxxx\r\n".to_string()),
            Self::InformationalHeads => ("", String::new()),
            Self::Chunks => (chunked, chunk(&"x".repeat(1_024))),
            Self::Body => ("Connection: close\r\n\r\n", "x".to_string()),
            Self::ChunkSize => (
                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
                "0".to_string(),
            ),
            Self::ChunkSizeSpaces => (
                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n5",
                " ".to_string(),
            ),
            Self::ChunkExtensions => (
                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n5;",
                "x".to_string(),
            ),
            Self::Event => (
                "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n\
                 6\r\ndata: \r\n",
                chunk(&"x".repeat(1_024)),
            ),
            Self::Events => (
                "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n",
                chunk(&format!("data: {}\n\n", "x".repeat(100))),
            ),
            Self::Trailers => (
                "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
                "Filler: x\r\n".to_string(),
            ),
        }
    }
}

/// Sends a response with an endless part until the caller closes the connection.
pub async fn send_endless(
    socket: &mut TcpStream,
    state: &Mutex<BackendState>,
    headers: &[(&'static str, String)],
    part: EndlessPart,
) -> Result<()> {
    let (first, repeated) = match part {
        EndlessPart::InformationalHeads => (
            String::new(),
            "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n".to_string(),
        ),
        _ => {
            let (after_headers, repeated) = part.parts();
            let headers = headers
                .iter()
                .map(|(name, value)| format!("{name}: {value}\r\n"));
            let headers: String = headers.collect();
            (
                format!("HTTP/1.1 200 OK\r\n{headers}{after_headers}"),
                repeated,
            )
        }
    };
    socket.write_all(first.as_bytes()).await?;
    let repeated = repeated.repeat(WRITE_BYTES.div_ceil(repeated.len()));
    loop {
        if socket.write_all(repeated.as_bytes()).await.is_err() {
            lock(state).endless_closed += 1;
            bail!("caller disconnected");
        }
        lock(state).endless_bytes += repeated.len() as u64;
    }
}
