//! Clients that do not behave, many at once, before a process with lowered limits.

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        cluster::{open_descriptors, peak_memory},
        users_platform::{prompt, request, ClientRequest, Fleet, FleetSettings, HOST},
        waiting::until_async,
    },
    rand::{rngs::StdRng, RngExt},
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::{Mutex, MutexGuard},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Memory of each machine; a process stays below it.
pub const MEMORY_MIB: u64 = 64;
/// Descriptors of each process.
pub const DESCRIPTORS: u64 = 600;
/// Limit of a body by the configuration, in bytes.
pub const MAX_BODY: usize = 1024 * 1024;
/// Connections of a crowd: their bodies are nearly twice the memory.
pub const CROWD: usize = 120;
/// One-byte chunks that a client of a crowd sends one after the other.
const SLOW_CHUNKS: usize = 2_000;
/// Time for which a client tries to send.
const SEND_LIMIT: Duration = Duration::from_secs(10);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Waits until no other crowd of this program is there.
pub async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Starts an entry with an engine and a plain back end, all on machines with lowered limits.
pub async fn small_fleet() -> Result<Fleet> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        memory_mib: Some(MEMORY_MIB),
        descriptors: Some(DESCRIPTORS),
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    fleet.configure(|c| c["Limits"]["MaxBodyBytes"] = MAX_BODY.into());
    until_async("a large body is served", || async {
        let sent = ClientRequest {
            body: vec![b'x'; MAX_BODY],
            ..plain_request()
        };
        request(fleet.clients, &sent)
            .await
            .is_ok_and(|r| r.status == 200)
    })
    .await;
    Ok(fleet)
}

fn plain_request() -> ClientRequest {
    ClientRequest {
        target: "/safe/".to_string(),
        id: format!("ordinary-{}", next_request()),
        ..ClientRequest::default()
    }
}

fn next_request() -> u64 {
    NEXT_REQUEST.fetch_add(1, Ordering::Relaxed)
}

/// How a body is framed.
#[derive(Debug, Clone, Copy)]
pub enum Framing {
    /// With a length that is announced.
    Length(usize),
    /// In chunks of this size.
    Chunks(usize),
}

/// What one client sends.
#[derive(Debug, Clone)]
pub struct Shape {
    pub framing: Framing,
    /// Bytes of the body that are sent.
    pub sent: usize,
    /// Bytes that are sent at once, before each pause.
    pub piece: usize,
    pub pause: Duration,
    /// Further header lines.
    pub headers: &'static str,
    /// What the body begins with.
    pub start: &'static [u8],
    /// Whether the body is ended as its framing requires.
    pub is_whole: bool,
}

impl Shape {
    /// A body of the largest legal size that stops one byte short, sent at once.
    pub fn short_by_one(framing: Framing) -> Self {
        Self {
            framing,
            sent: MAX_BODY - 1,
            piece: MAX_BODY,
            pause: Duration::ZERO,
            headers: "",
            start: b"",
            is_whole: false,
        }
    }

    /// One-byte chunks, one after the other, within any limit of size.
    pub fn slow_chunks() -> Self {
        Self {
            sent: SLOW_CHUNKS,
            piece: 1,
            pause: Duration::from_millis(1),
            ..Self::short_by_one(Framing::Chunks(1))
        }
    }

    /// Any shape, mostly one that stops short.
    pub fn draw(rng: &mut StdRng) -> Self {
        let framing = match rng.random_range(0..4) {
            0 => Framing::Length(MAX_BODY),
            1 => Framing::Length(rng.random_range(MAX_BODY..20 * MAX_BODY)),
            2 => Framing::Chunks(rng.random_range(1..16)),
            _ => Framing::Chunks(rng.random_range(16..200_000)),
        };
        // small chunks come one by one, so that each is read apart
        let (sent, piece) = match framing {
            Framing::Chunks(size) if size < 16 => (rng.random_range(500..4_000) * size, size),
            _ => {
                let sent = rng.random_range(MAX_BODY / 2..MAX_BODY * 5 / 4);
                (sent, 1 + sent / rng.random_range(1..200))
            }
        };
        Self {
            framing,
            sent,
            piece,
            pause: Duration::from_millis(rng.random_range(0..3)),
            headers: match rng.random_bool(0.2) {
                true => "Expect: 100-continue\r\n",
                false => "",
            },
            start: b"",
            is_whole: rng.random_bool(0.2),
        }
    }

    fn head(&self, target: &str) -> String {
        let framing = match self.framing {
            Framing::Length(bytes) => format!("Content-Length: {bytes}"),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".to_string(),
        };
        format!(
            "POST {target} HTTP/1.1\r\nHost: {HOST}\r\nChalkcart-Request-Id: crowd-{}\r\n\
             Chalkcart-Deadline-Ms: 60000\r\n{}{framing}\r\n\r\n",
            next_request(),
            self.headers
        )
    }

    fn frame(&self, data: &[u8]) -> Vec<u8> {
        let Framing::Chunks(size) = self.framing else {
            return data.to_vec();
        };
        let mut framed = Vec::new();
        for chunk in data.chunks(size) {
            framed.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
            framed.extend_from_slice(chunk);
            framed.extend_from_slice(b"\r\n");
        }
        framed
    }

    async fn send(&self, socket: &mut TcpStream, target: &str) -> std::io::Result<()> {
        socket.write_all(self.head(target).as_bytes()).await?;
        let mut body = vec![b'x'; self.sent];
        body[..self.start.len()].copy_from_slice(self.start);
        for piece in body.chunks(self.piece) {
            socket.write_all(&self.frame(piece)).await?;
            if !self.pause.is_zero() {
                sleep(self.pause).await;
            }
        }
        match (self.is_whole, self.framing) {
            (true, Framing::Chunks(_)) => socket.write_all(b"0\r\n\r\n").await,
            _ => Ok(()),
        }
    }
}

/// Sends one request each to an address, as far as they are read, and keeps the connections.
pub async fn crowd(addr: SocketAddr, target: &'static str, shapes: Vec<Shape>) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for shape in shapes {
        clients.spawn(async move {
            let mut socket = TcpStream::connect(addr).await.ok()?;
            // a client that is refused may fail to send the rest
            let _ = timeout(SEND_LIMIT, shape.send(&mut socket, target)).await;
            Some(socket)
        });
    }
    clients.join_all().await.into_iter().flatten().collect()
}

/// Opens connections that send these bytes, and keeps them.
pub async fn connections(addr: SocketAddr, count: usize, bytes: &'static [u8]) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for _ in 0..count {
        clients.spawn(async move {
            let mut socket = TcpStream::connect(addr).await.ok()?;
            let _ = timeout(SEND_LIMIT, socket.write_all(bytes)).await;
            Some(socket)
        });
    }
    clients.join_all().await.into_iter().flatten().collect()
}

/// Checks that the entry lives within its limits, and that ordinary requests are answered.
pub async fn check(fleet: &mut Fleet, what: &str) -> Result<()> {
    check_limits(fleet.ingress.id(), what)?;
    let (clients, what_) = (
        fleet.clients,
        format!("{what}: an ordinary request is answered"),
    );
    until_async(&what_, || async {
        let response = request(clients, &plain_request()).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
    until_async(&what_, || async {
        let sent = prompt("a", &format!("ordinary-{}", next_request()));
        let response = request(clients, &sent).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
    ensure!(!fleet.ingress.has_ended(), "{what}: the entry has ended");
    check_limits(fleet.ingress.id(), what)
}

/// Checks that a process lives within the memory and the descriptors of its machine.
pub fn check_limits(process: u32, what: &str) -> Result<()> {
    let open = open_descriptors(process);
    println!("{what}: {open} descriptors");
    ensure!((open as u64) < DESCRIPTORS, "{what}: {open} descriptors");
    check_memory(process, what)
}

/// Checks that a process lives within the memory of its machine.
pub fn check_memory(process: u32, what: &str) -> Result<()> {
    let peak = peak_memory(process);
    println!("{what}: peak {} MiB", peak >> 20);
    ensure!(peak > 0, "{what}: the process has ended");
    ensure!(peak < MEMORY_MIB << 20, "{what}: {} MiB", peak >> 20);
    Ok(())
}

/// Reads the status of a response; `None` if there is none.
pub async fn status(socket: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    let read = timeout(SEND_LIMIT, socket.read_exact(&mut head)).await;
    read.ok()?.ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}
