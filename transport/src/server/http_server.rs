use {
    super::{body_refused, HeldDoor},
    crate::clients::{BodyFault, Connection, HoldingBody},
    gotham::{handler::NewHandler, service::call_handler, state::State},
    http::Request,
    hyper::{body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
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
/// Bytes that a request takes at most beside its body: its state, its head, and what of its response
/// waits for its client.
const REQUEST_BYTES: usize = 8 * 1024;
/// Bytes that are read ahead on a connection, and bytes of a response that wait for a client that
/// doesn't read; a head must fit.
const BUFFER: usize = 64 * 1024;
const STREAM_BUFFER: usize = 16 * 1024;
/// Largest list of headers of one HTTP/2 request, in bytes.
const MAX_HEADERS: u32 = 16 * 1024;
/// Bytes that a client may send on an HTTP/2 connection before they are read.
const WINDOW: u32 = 256 * 1024;
/// Time to receive a head, and for which a connection without requests is kept; longer than any
/// client of ours keeps one that it doesn't use.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

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
/// returns when all requests in flight have ended, or fails after `grace`. All that clients hold
/// is within the bounds of the door.
pub async fn serve<H>(
    listener: TcpListener,
    handler: H,
    door: HeldDoor,
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
                Ok((socket, addr)) => {
                    // without a place it is closed unread
                    if let Some(place) = door.holdings.connect(door.door) {
                        spawn_connection(socket, addr, place, handler.clone(), &graceful);
                    }
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            () = wait_for_stop(&mut stop) => break,
        }
    }
    drop(listener);
    door.holdings.stop(door.door);
    let ended = timeout(grace, graceful.shutdown()).await;
    ended.map_err(|_| ServeError::StillOpen(grace))
}

async fn wait_for_stop(stop: &mut Stop) {
    // An error means that the sender was dropped, which stops the server as well.
    let _ = stop.wait_for(|stopped| *stopped).await;
}

fn spawn_connection<H>(
    socket: TcpStream,
    addr: SocketAddr,
    place: Connection,
    handler: H,
    graceful: &GracefulShutdown,
) where
    H: NewHandler + Clone + Send + Sync + std::panic::UnwindSafe + 'static,
{
    // Nagle's algorithm would delay small frames.
    let _ = socket.set_nodelay(true);
    let holder = place.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = handler.clone();
        let (busy, held) = (holder.begin(), holder.request());
        let held = held.filter(|held| held.hold(REQUEST_BYTES).is_ok());
        async move {
            let mut state = State::from_request(req, addr);
            let Some(held) = held else {
                let refused = body_refused(BodyFault::NoRoom);
                return Ok(refused.map(|body| HoldingBody::new(body, None, busy)));
            };
            state.put(held.clone());
            let response = call_handler(handler, AssertUnwindSafe(state)).await;
            response.map(|r| r.map(|body| HoldingBody::new(body, Some(held), busy)))
        }
    });
    let builder = connection_builder();
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    let watched = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        tokio::select! {
            biased;
            ended = watched => {
                if let Err(e) = ended {
                    log::debug!("server: connection of {addr} ended: {e}");
                }
            }
            cause = place.gives_way() => {
                log::debug!("server: connection of {addr} gives way: {}", cause.code());
            }
        }
    });
}

fn connection_builder() -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER);
    builder
        .http2()
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADERS)
        .initial_connection_window_size(WINDOW)
        .initial_stream_window_size(WINDOW)
        .max_send_buf_size(STREAM_BUFFER);
    builder
}
