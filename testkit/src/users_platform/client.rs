use {
    super::wire::{read_head, Head},
    anyhow::{bail, Context, Result},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Keeps a failing test from hanging; far longer than any response takes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub protocol: &'static str,
    pub method: &'static str,
    pub target: String,
    pub host: String,
    pub id: String,
    pub deadline_ms: u64,
    /// Model and adapter as `MODEL/ADAPTER`.
    pub adapter: Option<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Default for ClientRequest {
    fn default() -> Self {
        Self {
            protocol: "HTTP/1.1",
            method: "POST",
            target: "/".to_string(),
            host: super::HOST.to_string(),
            id: "id".to_string(),
            deadline_ms: 10_000,
            adapter: None,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }
}

/// Response as received by a client.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing requires.
    pub is_complete: bool,
}

/// Response whose body is still being received.
pub struct OpenStream {
    pub head: Head,
    socket: TcpStream,
    received: Vec<u8>,
}

impl ClientResponse {
    /// Returns the body without the framing of its chunks, as far as it was received.
    pub fn data(&self) -> Vec<u8> {
        if self.head.get("transfer-encoding") != Some("chunked") {
            return self.body.clone();
        }
        let (mut rest, mut data) = (self.body.as_slice(), Vec::new());
        while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
            let size = String::from_utf8_lossy(&rest[..end]);
            let size = usize::from_str_radix(&size, 16).unwrap_or(0);
            let chunk = &rest[end + 2..];
            data.extend_from_slice(&chunk[..size.min(chunk.len())]);
            rest = chunk.get(size + 2..).unwrap_or_default();
        }
        data
    }
}

impl ClientRequest {
    fn text(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} {}\r\nHost: {}\r\nContent-Length: {}\r\n\
             Chalkcart-Request-Id: {}\r\nChalkcart-Deadline-Ms: {}\r\n",
            self.method,
            self.target,
            self.protocol,
            self.host,
            self.body.len(),
            self.id,
            self.deadline_ms
        );
        if let Some(adapter) = &self.adapter {
            text.push_str(&format!(
                "Chalkcart-Model: {adapter}\r\nChalkcart-Token-Usage: 100,20\r\n"
            ));
        }
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads the complete response.
pub async fn request(addr: SocketAddr, request: &ClientRequest) -> Result<ClientResponse> {
    let stream = open_stream(addr, request).await?;
    stream.finish().await
}

/// Sends a request on a new connection and reads the head of the response.
pub async fn open_stream(addr: SocketAddr, request: &ClientRequest) -> Result<OpenStream> {
    let socket = TcpStream::connect(addr).await.context("connect")?;
    send_on(socket, request).await
}

/// Sends a request on an open connection and reads the head of the response.
pub async fn send_on(mut socket: TcpStream, request: &ClientRequest) -> Result<OpenStream> {
    socket
        .write_all(&request.text())
        .await
        .context("send the request")?;
    let head = timeout(RESPONSE_TIMEOUT, read_head(&mut socket)).await??;
    let head = head.context("connection closed without a response")?;
    let received = head.body_start.clone();
    Ok(OpenStream {
        head,
        socket,
        received,
    })
}

impl OpenStream {
    /// Reads the rest of the response.
    pub async fn finish(self) -> Result<ClientResponse> {
        Ok(self.finish_and_keep_connection().await?.0)
    }
    /// Reads the rest of the response and returns it with the connection.
    pub async fn finish_and_keep_connection(mut self) -> Result<(ClientResponse, TcpStream)> {
        let status = self.status()?;
        let is_complete = timeout(RESPONSE_TIMEOUT, self.read_to_end()).await?;
        let response = ClientResponse {
            status,
            head: self.head,
            body: self.received,
            is_complete,
        };
        Ok((response, self.socket))
    }

    /// Closes the connection and returns what was received so far.
    pub fn leave(self) -> Result<ClientResponse> {
        Ok(ClientResponse {
            status: self.status()?,
            head: self.head,
            body: self.received,
            is_complete: false,
        })
    }
    pub fn status(&self) -> Result<u16> {
        let status = self.head.start_line.get(1).and_then(|s| s.parse().ok());
        status.context("read the status of the response")
    }

    /// Reads until a text was received; returns false if the response ended before.
    pub async fn read_until(&mut self, text: &str) -> Result<bool> {
        let has_text = |received: &[u8]| String::from_utf8_lossy(received).contains(text);
        while !has_text(&self.received) {
            let read = self.socket.read_buf(&mut self.received);
            if timeout(RESPONSE_TIMEOUT, read).await?? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    async fn read_to_end(&mut self) -> bool {
        loop {
            if self.is_body_complete() {
                return true;
            }
            match self.socket.read_buf(&mut self.received).await {
                Ok(0) => return !self.is_framed(),
                Err(_) => return false,
                Ok(_) => {}
            }
        }
    }
    fn is_body_complete(&self) -> bool {
        let status = self.head.start_line.get(1).map(String::as_str);
        if matches!(status, Some("204" | "304")) {
            return true;
        }
        match self.head.get_number("content-length") {
            Some(length) => self.received.len() as u64 >= length,
            None => self.is_framed() && self.received.ends_with(b"0\r\n\r\n"),
        }
    }
    /// Returns whether the end of the body is distinguishable from the end of the connection.
    fn is_framed(&self) -> bool {
        let has_length = self.head.get_number("content-length").is_some();
        has_length || self.head.get("transfer-encoding") == Some("chunked")
    }
    /// Returns the number of bytes that arrive after the complete response within a short time.
    pub async fn extra_bytes(&mut self) -> Result<usize> {
        let count_before = self.received.len();
        let read = self.socket.read_buf(&mut self.received);
        match timeout(Duration::from_millis(200), read).await {
            Err(_) => Ok(0),
            Ok(Ok(_)) => Ok(self.received.len() - count_before),
            Ok(Err(e)) => bail!("{e}"),
        }
    }
}
