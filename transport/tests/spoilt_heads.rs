//! Guards against a response whose head is spoilt where it tells the end of the body, or its status,
//! and that its reader takes for a complete one, with a body that its sender did not send.

use {
    bytes::Bytes,
    chalkcart_transport::{
        backend::send,
        client::{HttpClient, ResponseLimits},
    },
    http::{header::CONTENT_LENGTH, Method, Request},
    http_body_util::{BodyExt, Full},
    quickcheck::{Arbitrary, Gen},
    std::{net::SocketAddr, sync::Mutex, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::timeout,
    },
};

const SEED: u64 = 93;
const CASES: usize = 1_500;
const BODY: &str = "the whole answer";
const CHUNKS: &str = "10\r\nthe whole answer\r\n0\r\n\r\n";
const LENGTH: &str = "Content-Length: 16";
const CODING: &str = "Transfer-Encoding: chunked";
const STATUS: &str = "HTTP/1.1 200 OK";
const PATIENCE: Duration = Duration::from_secs(5);

/// What is sent next, byte by byte, before the connection is closed.
struct Server {
    addr: SocketAddr,
    response: std::sync::Arc<Mutex<Vec<u8>>>,
}

impl Server {
    async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let response = std::sync::Arc::new(Mutex::new(Vec::new()));
        let shared = response.clone();
        tokio::spawn(async move {
            while let Ok((mut socket, _)) = listener.accept().await {
                let mut head = [0; 2048];
                let _ = socket.read(&mut head).await;
                let response = shared.lock().map(|r| r.clone()).unwrap_or_default();
                let _ = socket.write_all(&response).await;
                let _ = socket.shutdown().await;
                // the rest of the request, so that the close is no reset
                let _ = timeout(Duration::from_millis(50), socket.read(&mut head)).await;
            }
        });
        Ok(Self { addr, response })
    }

    fn set(&self, response: &[u8]) {
        *self.response.lock().expect("no holder panics") = response.to_vec();
    }

    /// Returns the status and body as a back end's response is read; `None` if it is no whole one.
    async fn read_as_backend(&self) -> Option<(u16, Vec<u8>)> {
        let req = Request::builder().uri("/").header("Host", "x");
        let req = req.body(Full::<Bytes>::default()).ok()?;
        let received = timeout(PATIENCE, send(self.addr, req, PATIENCE)).await;
        let received = received.expect("waits for what never comes").ok()?;
        let status = received.response.status().as_u16();
        let length = received.response.headers().get(CONTENT_LENGTH).cloned();
        let body = timeout(PATIENCE, received.response.into_body().collect()).await;
        let body = body.expect("waits for what never comes").ok()?.to_bytes();
        if let Some(length) = length.filter(|_| status != 304) {
            let declared = length.to_str().unwrap_or_default();
            assert_eq!(declared, body.len().to_string(), "{body:?}");
        }
        Some((status, body.to_vec()))
    }

    /// The same as the store, engines' reports and other processes are read.
    async fn read_as_peer(&self) -> Option<(u16, Vec<u8>)> {
        let limits = ResponseLimits::new(PATIENCE, 64 * 1024);
        let call = HttpClient::new();
        let response = call.fetch(
            self.addr,
            Method::GET,
            "/",
            "text/plain",
            Bytes::new(),
            limits,
        );
        let response = response.await.ok()?;
        Some((response.status().as_u16(), response.into_body().to_vec()))
    }

    async fn reads(&self, response: &[u8]) -> [Option<(u16, Vec<u8>)>; 2] {
        self.set(response);
        [self.read_as_backend().await, self.read_as_peer().await]
    }
}

fn response(status: &str, framing: &str, body: &str) -> String {
    format!("{status}\r\nChalkcart-Request-Id: r\r\n{framing}\r\n{body}")
}

#[tokio::test]
async fn spoilt_heads_are_no_responses() -> std::io::Result<()> {
    let server = Server::start().await?;
    let lengths = [
        "16, 16,",
        "16, 17",
        "1x",
        "+16",
        "-16",
        "0x10",
        "1 6",
        "99999999999999999999",
        "",
        "16;",
    ];
    let codings = [
        "chunke",
        "chunked, x",
        "x, chunked",
        "chunked, chunked",
        "chunked;q=1",
        "gzip",
        "",
        "\u{e9}chunked",
        "chunked,",
    ];
    let names = [
        "Transfer-Encodin",
        "ransfer-Encoding",
        "Transfer-Encodimg",
        "TransferEncoding",
        "Transfer_Encoding",
        "Transferr-Encoding",
        "Transf:r-Encoding",
        "Trnasfer-Encoding",
    ];
    let length_names = [
        "Content-Lenght",
        "Content-Lengt",
        "Kontent-Length",
        "Conten:-Length",
    ];
    let lines = [
        "Content-Length 16",
        "Content-Length : 16",
        "Content Length: 16",
        "X Y: z",
        "X\u{1}Y: z",
        ": z",
        "no field",
        "X: a\u{0}b",
    ];
    let mut spoilt: Vec<String> = Vec::new();
    spoilt.extend(lengths.map(|l| response(STATUS, &format!("Content-Length: {l}\r\n"), BODY)));
    spoilt
        .extend(codings.map(|c| response(STATUS, &format!("Transfer-Encoding: {c}\r\n"), CHUNKS)));
    spoilt.extend(names.map(|n| response(STATUS, &format!("{n}: chunked\r\n"), CHUNKS)));
    spoilt.extend(length_names.map(|n| response(STATUS, &format!("{n}: 16\r\n"), BODY)));
    spoilt.extend(lines.map(|l| response(STATUS, &format!("{LENGTH}\r\n{l}\r\n"), BODY)));
    let several = [
        format!("{CODING}\r\n{LENGTH}\r\n"),
        format!("Content-Length: 5\r\n{CODING}\r\n"),
        format!("{CODING}\r\n{CODING}\r\n"),
        format!("{LENGTH}\r\nContent-Length: 17\r\n"),
        "Transfer-Encoding: chunke\r\nContent-Length: 5\r\n".to_string(),
    ];
    spoilt.extend(several.map(|framing| response(STATUS, &framing, CHUNKS)));
    // a reader goes by the coding, the head that is passed on has the length
    let lengths_beside_identity = [
        "Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
        "Content-Length: 17\r\nTransfer-Encoding: Identity\r\n",
        "Transfer-Encoding: identity\r\nContent-Length: 16\r\n",
    ];
    spoilt.extend(lengths_beside_identity.map(|framing| response(STATUS, framing, BODY)));
    spoilt.push(response(
        "HTTP/1.0 200 OK",
        &format!("{CODING}\r\n"),
        CHUNKS,
    ));
    let statuses = [
        "000", "001", "099", "101", "199", "204", "205", "600", "999", "20", "2000", "",
    ];
    let framing = format!("{LENGTH}\r\n");
    spoilt.extend(statuses.map(|s| response(&format!("HTTP/1.1 {s} OK"), &framing, BODY)));
    for text in &spoilt {
        let read = server.reads(text.as_bytes()).await;
        assert_eq!(read, [None, None], "{text:?}");
    }
    Ok(())
}

/// Guards against a length with a digit too few, or another one, under which the reader makes a whole
/// response of the first bytes of the body; another response after a whole one is none of it.
#[tokio::test]
async fn a_body_longer_than_its_length_is_no_response() -> std::io::Result<()> {
    let server = Server::start().await?;
    let mut g = Gen::from_size_and_seed(20, SEED);
    for _ in 0..CASES / 10 {
        let size = 1 + usize::arbitrary(&mut g) % 20_000;
        let body: String = (0..size)
            .map(|n| if n % 30 == 29 { '\n' } else { 'x' })
            .collect();
        let declared = usize::arbitrary(&mut g) % size;
        let of_length = |length: usize| format!("Content-Length: {length}\r\n");
        let spoilt = response(STATUS, &of_length(declared), &body);
        let read = server.reads(spoilt.as_bytes()).await;
        assert!(read == [None, None], "{declared} of {size} bytes");
        let expected = Some((200, body.clone().into_bytes()));
        let informational = format!("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n{STATUS}");
        for (first, beyond) in [
            (STATUS, ""),
            (STATUS, "\r\n"),
            (STATUS, "HTT"),
            (STATUS, "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"),
            (&informational, "HTTP/1.1 200 OK\r\n\r\n"),
        ] {
            let whole = response(first, &of_length(size), &format!("{body}{beyond}"));
            let read = server.reads(whole.as_bytes()).await;
            assert!(read == [expected.clone(), expected.clone()], "{beyond:?}");
        }
    }
    Ok(())
}

#[tokio::test]
async fn sound_heads_are_read_whole() -> std::io::Result<()> {
    let server = Server::start().await?;
    let sound = [
        (200, format!("{LENGTH}\r\n"), BODY, BODY),
        (200, format!("{LENGTH}\r\n{LENGTH}\r\n"), BODY, BODY),
        (200, "Content-Length: 16, 16\r\n".to_string(), BODY, BODY),
        (200, format!("{CODING}\r\n"), CHUNKS, BODY),
        (
            200,
            "transfer-encoding:Chunked \r\n".to_string(),
            CHUNKS,
            BODY,
        ),
        (
            200,
            "Transfer-Encoding: identity\r\n".to_string(),
            BODY,
            BODY,
        ),
        (200, "Connection: close\r\n".to_string(), BODY, BODY),
        (
            200,
            format!("X-Content-Length: 5\r\n{LENGTH}\r\n"),
            BODY,
            BODY,
        ),
        (
            200,
            format!("Content-Language: en\r\nContent-Range: x\r\n{LENGTH}\r\n"),
            BODY,
            BODY,
        ),
        (201, format!("{LENGTH}\r\n"), BODY, BODY),
        (404, format!("{LENGTH}\r\n"), BODY, BODY),
        (500, String::new(), BODY, BODY),
        (599, format!("{LENGTH}\r\n"), BODY, BODY),
        (204, String::new(), "", ""),
        (204, "Content-Length: 0\r\n".to_string(), "", ""),
        (205, "Content-Length: 0\r\n".to_string(), "", ""),
        (304, format!("{LENGTH}\r\n"), "", ""),
    ];
    for (status, framing, sent, body) in sound {
        let text = response(&format!("HTTP/1.1 {status} OK"), &framing, sent);
        let expected = Some((status, body.as_bytes().to_vec()));
        let read = server.reads(text.as_bytes()).await;
        assert_eq!(read, [expected.clone(), expected], "{text:?}");
    }
    // an earlier version of the protocol, with a length and without
    for framing in [format!("{LENGTH}\r\n"), String::new()] {
        let text = response("HTTP/1.0 200 OK", &framing, BODY);
        let expected = Some((200, BODY.as_bytes().to_vec()));
        let read = server.reads(text.as_bytes()).await;
        assert_eq!(read, [expected.clone(), expected], "{text:?}");
    }
    Ok(())
}

/// Replaces, inserts or removes one byte at a random place of a text.
fn spoil(g: &mut Gen, text: &str) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    let at = usize::arbitrary(g) % bytes.len();
    let byte = match bool::arbitrary(g) {
        true => u8::arbitrary(g),
        false => *g.choose(b" \t:,;\0\x01\x7f\xe9x0-=").unwrap_or(&b' '),
    };
    match u8::arbitrary(g) % 3 {
        0 => bytes[at] = byte,
        1 => bytes.insert(at, byte),
        _ => {
            bytes.remove(at);
        }
    }
    bytes
}

/// Whether a length is another sound number: nothing shows that it is not the sender's.
fn is_another_number(line: &[u8]) -> bool {
    let text = String::from_utf8_lossy(line).to_ascii_lowercase();
    let number = text.strip_prefix("content-length:").map(str::trim);
    number.is_some_and(|n| !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Guards against any one spoilt byte in the line that frames the body, of which the reader makes a
/// whole response with another body.
#[tokio::test]
async fn a_spoilt_byte_in_a_framing_line_changes_no_body() -> std::io::Result<()> {
    let server = Server::start().await?;
    let mut g = Gen::from_size_and_seed(20, SEED);
    for _ in 0..CASES {
        let (line, body) = match bool::arbitrary(&mut g) {
            true => (LENGTH, BODY),
            false => (CODING, CHUNKS),
        };
        let spoilt = spoil(&mut g, line);
        let mut text = format!("{STATUS}\r\nChalkcart-Request-Id: r\r\n").into_bytes();
        text.extend(&spoilt);
        text.extend(format!("\r\n\r\n{body}").as_bytes());
        for read in server.reads(&text).await.into_iter().flatten() {
            let is_right = read == (200, BODY.as_bytes().to_vec());
            let shown = String::from_utf8_lossy(&spoilt);
            assert!(
                is_right || is_another_number(&spoilt),
                "{shown:?}: {read:?}"
            );
        }
    }
    Ok(())
}

/// Guards against any mix of framing fields under which the head that is passed on declares another
/// length than the body has.
#[tokio::test]
async fn no_mix_of_framing_fields_declares_another_length() -> std::io::Result<()> {
    let server = Server::start().await?;
    let mut g = Gen::from_size_and_seed(20, SEED);
    let lines = [
        LENGTH,
        "Content-Length: 5",
        "Content-Length: 17",
        "Content-Length: 0",
        CODING,
        "Transfer-Encoding: identity",
        "Transfer-Encoding: gzip",
        "Connection: close",
        "Keep-Alive: timeout=5",
    ];
    for _ in 0..CASES / 3 {
        let count = 1 + usize::arbitrary(&mut g) % 3;
        let framing = (0..count).filter_map(|_| g.choose(&lines));
        let framing: String = framing.map(|line| format!("{line}\r\n")).collect();
        let status = *g.choose(&[STATUS, "HTTP/1.0 200 OK"]).unwrap_or(&STATUS);
        let body = *g.choose(&[BODY, CHUNKS]).unwrap_or(&BODY);
        // the reader compares the length that is passed on with the body
        for (_, read) in server
            .reads(response(status, &framing, body).as_bytes())
            .await
            .into_iter()
            .flatten()
        {
            let is_begin = body.as_bytes().starts_with(&read);
            assert!(is_begin || read == BODY.as_bytes(), "{framing:?}: {read:?}");
        }
    }
    Ok(())
}

/// Guards against any status that ends no request, of which the reader makes an answer.
#[tokio::test]
async fn a_spoilt_byte_in_a_status_line_gives_no_odd_status() -> std::io::Result<()> {
    let server = Server::start().await?;
    let mut g = Gen::from_size_and_seed(20, SEED);
    for _ in 0..CASES / 3 {
        let spoilt = spoil(&mut g, STATUS);
        let mut text = spoilt.clone();
        text.extend(format!("\r\n{LENGTH}\r\n\r\n{BODY}").as_bytes());
        for (status, _) in server.reads(&text).await.into_iter().flatten() {
            let shown = String::from_utf8_lossy(&spoilt);
            assert!((200..600).contains(&status), "{shown:?}: {status}");
            let shown_status = shown.split(' ').nth(1).unwrap_or_default();
            assert!(
                shown_status.starts_with(&status.to_string()),
                "{shown:?}: {status}"
            );
        }
    }
    Ok(())
}
