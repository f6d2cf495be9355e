//! A minimal HTTP/1.1 implementation that lets stand-ins violate the protocol.

use {
    anyhow::{bail, Context, Result},
    std::collections::HashMap,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Head of a message, with the first line split at spaces.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: Vec<String>,
    /// Header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// Bytes received after the head.
    pub rest: Vec<u8>,
}

impl Head {
    /// Returns the path and query of a request.
    pub fn target(&self) -> String {
        self.line.get(1).cloned().unwrap_or_default()
    }
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.parse().ok()
    }
}

/// Reads a head; `None` if the peer closed the connection before one was complete.
pub async fn read_head(socket: &mut TcpStream) -> Result<Option<Head>> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        if buf.len() > MAX_HEAD_BYTES {
            bail!("message head exceeds {MAX_HEAD_BYTES} bytes");
        }
        if socket.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    };
    let text = std::str::from_utf8(&buf[..end]).context("message head is not UTF-8")?;
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default();
    let headers = lines.filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_string()))
    });
    Ok(Some(Head {
        line: line.split(' ').map(str::to_string).collect(),
        headers: headers.collect(),
        rest: buf[end + 4..].to_vec(),
    }))
}

/// Reads a body of the length that the head declares.
pub async fn read_body(socket: &mut TcpStream, head: &Head) -> Result<Vec<u8>> {
    let length = head.number("content-length").unwrap_or(0) as usize;
    let mut body = head.rest.clone();
    while body.len() < length {
        if socket.read_buf(&mut body).await? == 0 {
            bail!("connection closed in the body");
        }
    }
    Ok(body)
}

/// Writes a response with a `Content-Length`.
pub async fn write_response(
    socket: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut message = text.into_bytes();
    message.extend_from_slice(body);
    socket.write_all(&message).await.context("write a response")
}
