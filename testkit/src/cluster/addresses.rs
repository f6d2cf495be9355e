use {
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
    },
};

/// Below the ephemeral port range, so that outgoing connections don't take these ports.
const FIRST_PORT: u16 = 7_000;
const PORT_COUNT: u32 = 2_000;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address on which nobody listens. The host part differs between test
/// processes, so that their addresses don't collide.
pub fn next_addr() -> SocketAddr {
    let pid = std::process::id();
    let host = [127, 1 + (pid >> 8) as u8 % 250, pid as u8, 1];
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let addr = SocketAddr::from((host, FIRST_PORT + offset as u16));
        if try_bind(addr).is_ok() {
            return addr;
        }
    }
}

/// Binds without listening: a child process that inherits this socket until it calls `exec`
/// must not keep others from listening on the address.
fn try_bind(addr: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())
}
