use {
    super::SharedLink,
    anyhow::Result,
    socket2::SockRef,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            tcp::{OwnedReadHalf, OwnedWriteHalf},
            TcpListener, TcpStream,
        },
        sync::watch,
        time::sleep,
    },
};

const BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that pass a shared link at once, so that its connections take turns.
const LINK_PART_BYTES: usize = 1_500;
/// Buffers of the sockets at a shared link.
const WINDOW_BYTES: usize = 16 * 1024;

/// Fault of a forwarder's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    #[default]
    None,
    /// Closes all connections and accepts no new ones.
    Closed,
    /// Drops the bytes of both directions; connections stay open.
    Blackhole,
    /// Forwards bytes to the peer but drops those from it.
    ResponsesLost,
    /// Forwards bytes from the peer but drops those to it.
    RequestsLost,
    /// Holds the bytes to the peer, and forwards them when the fault ends, also those of callers
    /// that have left by then.
    Held,
}

/// Forwards TCP connections to a peer and injects faults into them.
#[derive(Debug)]
pub struct TcpForwarder {
    pub addr: SocketAddr,
    fault: watch::Sender<LinkFault>,
    /// Connections opened in an earlier epoch drop all bytes.
    epoch: watch::Sender<u64>,
}

impl TcpForwarder {
    /// Forwards a free port at the peer's address to the peer, with a delay in each direction.
    pub async fn start(peer: SocketAddr, delay: Duration) -> Result<Self> {
        Self::start_on(SocketAddr::new(peer.ip(), 0), peer, delay, None).await
    }
    /// Forwards this address to the peer.
    pub async fn start_at(addr: SocketAddr, peer: SocketAddr) -> Result<Self> {
        Self::start_on(addr, peer, Duration::ZERO, None).await
    }
    /// Forwards a free loopback port to a peer over a link that other forwarders share.
    /// The link is that of the peer's machine if `is_peers`, else that of the callers'.
    pub async fn start_on_link(
        peer: SocketAddr,
        link: Arc<SharedLink>,
        is_peers: bool,
    ) -> Result<Self> {
        let link = LinkSide { link, is_peers };
        let addr = SocketAddr::new(peer.ip(), 0);
        Self::start_on(addr, peer, Duration::ZERO, Some(link)).await
    }

    async fn start_on(
        addr: SocketAddr,
        peer: SocketAddr,
        delay: Duration,
        link: Option<LinkSide>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (fault, epoch) = (watch::Sender::new(LinkFault::None), watch::Sender::new(0));
        let state = (fault.subscribe(), epoch.subscribe());
        tokio::spawn(accept(listener, peer, (delay, link), state));
        Ok(Self { addr, fault, epoch })
    }
    pub fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
    /// Drops all further bytes on open connections without closing them; new ones work.
    pub fn blackhole_open_connections(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }
}

/// Receivers of the forwarder's fault and epoch.
type FaultState = (watch::Receiver<LinkFault>, watch::Receiver<u64>);

async fn accept(
    listener: TcpListener,
    peer: SocketAddr,
    (delay, link): (Duration, Option<LinkSide>),
    (fault, epoch): FaultState,
) {
    while let Ok((near, _)) = listener.accept().await {
        if *fault.borrow() != LinkFault::Closed {
            let connection = Connection {
                fault: fault.clone(),
                opened_in_epoch: *epoch.borrow(),
                epoch: epoch.clone(),
                delay,
                link: link.clone(),
            };
            tokio::spawn(forward(near, peer, connection));
        }
    }
}

/// Fault state as seen by one connection.
#[derive(Clone)]
struct Connection {
    fault: watch::Receiver<LinkFault>,
    opened_in_epoch: u64,
    epoch: watch::Receiver<u64>,
    delay: Duration,
    link: Option<LinkSide>,
}

/// A machine's link, and on which side of the forwarder the machine is.
#[derive(Debug, Clone)]
struct LinkSide {
    link: Arc<SharedLink>,
    is_peers: bool,
}

impl LinkSide {
    async fn pass(&self, direction: Direction, bytes: usize) {
        let is_inbound = (direction == Direction::ToPeer) == self.is_peers;
        self.link.pass(is_inbound, bytes).await;
    }
}

impl Connection {
    /// Returns whether bytes in this direction are currently dropped.
    fn drops_bytes(&self, direction: Direction) -> bool {
        if *self.epoch.borrow() != self.opened_in_epoch {
            return true;
        }
        match *self.fault.borrow() {
            LinkFault::None | LinkFault::Closed | LinkFault::Held => false,
            LinkFault::Blackhole => true,
            LinkFault::ResponsesLost => direction == Direction::FromPeer,
            LinkFault::RequestsLost => direction == Direction::ToPeer,
        }
    }

    /// Waits while bytes in this direction are held.
    async fn wait_while_held(&self, direction: Direction) {
        if direction == Direction::ToPeer {
            let mut fault = self.fault.clone();
            let _ = fault.wait_for(|fault| *fault != LinkFault::Held).await;
        }
    }
}

async fn forward(near: TcpStream, peer: SocketAddr, connection: Connection) {
    let mut fault = connection.fault.clone();
    let Ok(far) = TcpStream::connect(peer).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    if connection.link.is_some() {
        [&near, &far].into_iter().for_each(set_small_windows);
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let to_peer = copy_bytes(near_read, far_write, &connection, Direction::ToPeer);
    let from_peer = copy_bytes(far_read, near_write, &connection, Direction::FromPeer);
    tokio::select! {
        () = to_peer => {}
        () = from_peer => {}
        _ = fault.wait_for(|fault| *fault == LinkFault::Closed) => {}
    }
}

/// Has bytes wait at their sender while they don't pass the link.
fn set_small_windows(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let _ = socket.set_recv_buffer_size(WINDOW_BYTES);
    let _ = socket.set_send_buffer_size(WINDOW_BYTES);
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToPeer,
    FromPeer,
}

async fn copy_bytes(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    connection: &Connection,
    direction: Direction,
) {
    let bytes = match connection.link {
        Some(_) => LINK_PART_BYTES,
        None => BUFFER_BYTES,
    };
    let mut buf = vec![0; bytes];
    let mut has_gap = false;
    while let Ok(count) = read.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if !connection.delay.is_zero() {
            sleep(connection.delay).await;
        }
        if let Some(link) = &connection.link {
            link.pass(direction, count).await;
        }
        connection.wait_while_held(direction).await;
        let is_dropped = connection.drops_bytes(direction);
        has_gap |= is_dropped;
        if is_dropped {
            continue;
        }
        // a stream with missing bytes can't continue
        if has_gap || write.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
}
