//! Socket options.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::{TcpSocket, TcpStream},
};

/// A connection is closed if its peer does not acknowledge or take sent data within this time.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// Opens a connection that leaves its port to listeners: the kernel may give it one on which another
/// process listens after its next start.
///
/// # Errors
/// Fails if the connection can't be opened.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    socket.connect(addr).await
}

/// Has the connection reset when it is closed, which discards what was not sent yet.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Disables Nagle's algorithm, and enables the detection of dead peers, also of one that takes no more
/// data.
///
/// Errors are ignored, as the options are not needed for correct service.
pub fn tune_stream(stream: &TcpStream) {
    tune_client(stream);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}

/// Does the same for a client, which may be slow to read.
///
/// A time for sent data would count the time for which a client reads nothing, though it acknowledges
/// each probe. A client that is dead while data is on its way costs a request until its deadline.
pub fn tune_client(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
