use {
    gotham::{handler::NewHandler, service::call_handler, state::State},
    http::Request,
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo},
        server::{conn::auto, graceful::GracefulShutdown},
    },
    std::{io, net::SocketAddr, panic::AssertUnwindSafe, time::Duration},
    thiserror::Error,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Pause after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// HTTP/2 streams per connection; a caller may send all its requests on one connection.
const MAX_STREAMS: u32 = 4_096;

/// Becomes true when the server must stop.
pub type Stop = watch::Receiver<bool>;

/// A server that failed to start or to stop.
#[derive(Debug, Error)]
pub enum ServeError {
    #[error("listen on {addr}: {source}")]
    Listen { addr: SocketAddr, source: io::Error },
    #[error("connections still open after {0:?}")]
    StillOpen(Duration),
}

/// Serves HTTP/1 and HTTP/2 without TLS until `stop`, then closes the listener and
/// returns when all requests in flight have ended, or fails after `grace`.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    mut stop: Stop,
    grace: Duration,
) -> Result<(), ServeError>
where
    H: NewHandler + Clone + Send + Sync + std::panic::UnwindSafe + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, addr)) => spawn_connection(socket, addr, handler.clone(), &graceful),
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            () = wait_for_stop(&mut stop) => break,
        }
    }
    drop(listener);
    let ended = timeout(grace, graceful.shutdown()).await;
    ended.map_err(|_| ServeError::StillOpen(grace))
}

async fn wait_for_stop(stop: &mut Stop) {
    // An error means that the sender was dropped, which stops the server as well.
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn spawn_connection<H>(socket: TcpStream, addr: SocketAddr, handler: H, graceful: &GracefulShutdown)
where
    H: NewHandler + Clone + Send + Sync + std::panic::UnwindSafe + 'static,
{
    // Nagle's algorithm would delay small frames.
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let state = State::from_request(req, addr);
            call_handler(handler, AssertUnwindSafe(state)).await
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(MAX_STREAMS);
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let watched = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(e) = watched.await {
            log::debug!("server: connection of {addr} ended: {e}");
        }
    });
}
