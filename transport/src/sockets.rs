//! options of sockets

use {
    socket2::{SockRef, TcpKeepalive},
    std::time::Duration,
    tokio::net::TcpStream,
};

/// a peer that acknowledges nothing for this long is taken for lost
const USER_TIMEOUT: Duration = Duration::from_secs(2);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;

/// send small parts at once, and notice a peer that has fallen silent.
///
/// Options that the system refuses are left out: they are no condition of
/// correct service.
pub fn tune_stream(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_IDLE)
        .with_retries(KEEPALIVE_PROBES);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
}
