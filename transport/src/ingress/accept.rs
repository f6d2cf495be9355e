use {
    futures::FutureExt,
    std::io,
    tokio::net::{TcpListener, TcpStream},
};

/// Most connections accepted in one step, after which other tasks have their turn.
const MAX_BATCH: usize = 64;

/// Decides about clients' connections, and hears of them.
pub trait ConnectionControl: Send + Sync + 'static {
    /// Called with the number of connections that waited in the queue of the socket.
    fn on_accepted(&self, connections: usize);
    fn on_accept_failed(&self, e: &io::Error);
    fn on_ended(&self);
}

/// Waits for a connection, and returns it with those that wait in the queue behind it.
///
/// # Errors
/// Fails if no connection can be accepted, as when descriptors run out.
pub async fn accept_waiting(listener: &TcpListener) -> io::Result<Vec<TcpStream>> {
    let (first, _) = listener.accept().await?;
    let mut accepted = vec![first];
    while accepted.len() < MAX_BATCH {
        match listener.accept().now_or_never() {
            Some(Ok((socket, _))) => accepted.push(socket),
            // an error comes again with the next call
            Some(Err(_)) | None => break,
        }
    }
    Ok(accepted)
}
