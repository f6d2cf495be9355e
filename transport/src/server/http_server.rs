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

/// pause after a failed accept, so that a lack of descriptors is no busy loop
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// streams on one HTTP/2 connection; a caller may send all its requests
/// through one
const MAX_STREAMS: u32 = 4_096;

/// becomes true when the server is to stop
pub type Stop = watch::Receiver<bool>;

/// a server that could not start or end
#[derive(Debug, Error)]
pub enum ServeError {
    #[error("listen on {addr}: {source}")]
    Listen { addr: SocketAddr, source: io::Error },
    #[error("connections still open after {0:?}")]
    StillOpen(Duration),
}

/// take the listening socket
pub async fn bind(addr: SocketAddr) -> Result<TcpListener, ServeError> {
    let listener = TcpListener::bind(addr).await;
    listener.map_err(|source| ServeError::Listen { addr, source })
}

/// serve HTTP/1 and HTTP/2 without TLS until `stop`; then take no new
/// connection, let requests in flight end, and return
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
            () = stopped(&mut stop) => break,
        }
    }
    drop(listener);
    let ended = timeout(grace, graceful.shutdown()).await;
    ended.map_err(|_| ServeError::StillOpen(grace))
}

async fn stopped(stop: &mut Stop) {
    // an error says that the sender is gone, which is a stop as well
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn spawn_connection<H>(socket: TcpStream, addr: SocketAddr, handler: H, graceful: &GracefulShutdown)
where
    H: NewHandler + Clone + Send + Sync + std::panic::UnwindSafe + 'static,
{
    // streams of small frames must not wait for each other
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
