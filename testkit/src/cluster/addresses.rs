use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::{AtomicU32, Ordering},
};

/// below the range from which the system takes ports for connections
const FIRST_PORT: u16 = 7_000;
const PORTS: u32 = 2_000;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// an address of loopback that nobody listens on; the host part differs
/// between test processes, so that they don't meet
pub fn next_addr() -> SocketAddr {
    let pid = std::process::id();
    let host = [127, 1 + (pid >> 8) as u8 % 250, pid as u8, 1];
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let addr = SocketAddr::from((host, FIRST_PORT + offset as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}
