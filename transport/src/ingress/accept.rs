use {
    crate::clients::Connection,
    socket2::{SockRef, Socket},
    std::{io, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// The place of a request on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPlace {
    First,
    Later,
}

/// How connections are taken from the queue of a listening socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptPacing {
    /// Connections accepted in one step, after which other tasks have their turn.
    pub batch: usize,
    /// Time between two steps; many connections in one step cost less.
    pub interval: Duration,
    /// Connections that may wait in the queue; the kernel drops further opening packets.
    pub queue: usize,
}

impl Default for AcceptPacing {
    fn default() -> Self {
        Self {
            batch: 16,
            interval: Duration::ZERO,
            queue: 1_024,
        }
    }
}

/// Decides about clients' connections, and hears of them and their requests.
pub trait ConnectionControl: Send + Sync + 'static {
    /// Called with the number of connections that waited in the queue of the socket.
    fn on_accepted(&self, connections: usize);
    /// Takes a place for a new connection; without one it is closed unread, so that its client tries
    /// another entry.
    fn admit(&self) -> Option<Connection>;
    /// Returns how the queue of the socket is taken from now.
    fn accept_pacing(&self) -> AcceptPacing;
    fn on_accept_failed(&self, e: &io::Error);
    /// Called when a connection that was served ends.
    fn on_connection_ended(&self);
    /// Called when a request was read.
    fn on_request(&self, place: RequestPlace);
    /// Called when the response to a request was sent or broke off.
    fn on_request_ended(&self);
}

/// Waits for connections, takes up to `batch` of them from the queue of the socket, and returns
/// those that are served. The others are closed; but for the first, they are not registered with
/// the event loop, which keeps that cheap.
///
/// # Errors
/// Fails if no connection can be accepted, as when descriptors run out.
pub async fn accept(
    listener: &TcpListener,
    control: &dyn ConnectionControl,
    batch: usize,
) -> io::Result<Vec<(TcpStream, Connection)>> {
    let (first, _) = listener.accept().await?;
    let mut served = Vec::new();
    served.extend(control.admit().map(|place| (first, place)));
    let queue = SockRef::from(listener);
    let mut accepted = 1;
    while accepted < batch {
        // an error that lasts comes again with the next call
        let Ok((socket, _)) = queue.accept() else {
            break;
        };
        accepted += 1;
        let Some(place) = control.admit() else {
            continue;
        };
        match register(socket) {
            Some(socket) => served.push((socket, place)),
            None => control.on_connection_ended(),
        }
    }
    control.on_accepted(accepted);
    Ok(served)
}

/// Sets the length of the queue of a listening socket. The previous one stays if that fails.
pub fn set_queue(listener: &TcpListener, queue: usize) {
    if let Err(e) = SockRef::from(listener).listen(queue as i32) {
        log::debug!("ingress: the length of the socket's queue was not set: {e}");
    }
}

/// Returns `None` for a connection that its client has reset.
fn register(socket: Socket) -> Option<TcpStream> {
    socket.set_nonblocking(true).ok()?;
    TcpStream::from_std(socket.into()).ok()
}
