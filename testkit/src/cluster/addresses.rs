use {
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
    },
};

/// below the range from which the system takes ports for connections
const FIRST_PORT: u16 = 7_000;
const PORT_COUNT: u32 = 2_000;

static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);

/// an address of loopback that nobody listens on; the host part differs
/// between test processes, so that they don't meet
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

/// bind without listening: a copy of this socket, which a process that is being
/// started holds for a moment, keeps nobody from the address
fn try_bind(addr: SocketAddr) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())
}
