//! Listening sockets of a process that starts.

use {
    super::ServeError,
    crate::clock,
    chalkcart_coordination::retry::Backoff,
    nix::errno::Errno,
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, time::sleep},
};

/// Pauses between two attempts to listen.
const PAUSES: Backoff = Backoff {
    first: Duration::from_millis(50),
    max: Duration::from_secs(1),
};
/// Time between two log lines about an address that is not free.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Binds the listening socket. If the address is held, or the machine lacks it or what a socket
/// takes, waits until that has passed: a process that ended would be no nearer to it.
///
/// # Errors
/// Fails on what doesn't pass, as on a port that this process may not use.
pub async fn bind(addr: SocketAddr) -> Result<TcpListener, ServeError> {
    let mut attempts = 0;
    let mut logged_at: Option<Instant> = None;
    loop {
        let source = match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(e) => e,
        };
        if !passes(&source) {
            return Err(ServeError::Listen { addr, source });
        }
        attempts += 1;
        if logged_at.is_none_or(|at| clock::elapsed(at) >= LOG_INTERVAL) {
            logged_at = Some(clock::now());
            log::warn!(
                address = addr.to_string().as_str(),
                attempts = attempts,
                cause = source.to_string().as_str();
                "start: waits until it can listen"
            );
        }
        sleep(PAUSES.delay(attempts, 1.0)).await;
    }
}

/// Returns whether an error can pass by itself: another process ends, a connection closes, the
/// machine gets its address.
fn passes(e: &io::Error) -> bool {
    let errno = e.raw_os_error().map(Errno::from_raw);
    matches!(
        errno,
        Some(
            Errno::EADDRINUSE
                | Errno::EADDRNOTAVAIL
                | Errno::EMFILE
                | Errno::ENFILE
                | Errno::ENOBUFS
                | Errno::ENOMEM
        )
    )
}
