use {
    super::{
        accept::{accept_waiting, ConnectionControl},
        client_socket::{ClientSocket, EndsWithConnection},
        ProxyBody,
    },
    crate::sockets::tune_stream,
    async_trait::async_trait,
    bytes::Bytes,
    http::{header::CONTENT_LENGTH, Request, Response, Version},
    http_body_util::{Either, Full},
    hyper::{
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// Pause after a failed accept, which avoids a busy loop when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The smallest head buffer that hyper accepts.
const MIN_HEAD_BUFFER: usize = 8 * 1024;

pub type ClientRequest = Request<Incoming>;
/// A locally generated body or a proxied one.
pub type ClientBody = Either<Full<Bytes>, ProxyBody>;
pub type ClientResponse = Response<ClientBody>;

/// The phase of the server's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Responses announce that their connection closes.
    Draining,
    /// Idle connections are closed and no new ones are accepted.
    Closing,
}

/// Handles clients' requests.
#[async_trait]
pub trait IngressService: Send + Sync + 'static {
    async fn respond(&self, req: ClientRequest) -> ClientResponse;
    /// Returns the size limit of a request head, in bytes.
    fn max_header_bytes(&self) -> usize;
    /// Returns the time limit for receiving a head, from the end of the previous response.
    fn header_timeout(&self) -> Duration;
}

/// Serves clients until the phase is `Closing`, and returns when the last connection
/// has ended.
pub async fn serve(
    listener: TcpListener,
    service: Arc<dyn IngressService>,
    control: Arc<dyn ConnectionControl>,
    mut phase: watch::Receiver<Phase>,
) {
    let (alive, mut all_ended) = tokio::sync::mpsc::channel::<Infallible>(1);
    loop {
        tokio::select! {
            accepted = accept_waiting(&listener) => match accepted {
                Ok(sockets) => {
                    control.on_accepted(sockets.len());
                    for socket in sockets {
                        let ended = EndGuard { control: control.clone(), _alive: alive.clone() };
                        let connection = serve_connection(socket, service.clone(), phase.clone());
                        tokio::spawn(async move {
                            connection.await;
                            drop(ended);
                        });
                    }
                }
                Err(e) => {
                    control.on_accept_failed(&e);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
            () = wait_for_phase(&mut phase, Phase::Closing) => break,
        }
    }
    drop(listener);
    drop(alive);
    // Nothing is sent; `recv` returns when the last sender has been dropped.
    all_ended.recv().await;
}

/// Reports the end of a connection when it is dropped.
struct EndGuard {
    control: Arc<dyn ConnectionControl>,
    _alive: tokio::sync::mpsc::Sender<Infallible>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.control.on_ended();
    }
}

async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // An error means that the process is exiting.
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

async fn serve_connection(
    socket: TcpStream,
    service: Arc<dyn IngressService>,
    mut phase: watch::Receiver<Phase>,
) {
    tune_stream(&socket);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(service.header_timeout())
        .max_buf_size(service.max_header_bytes().max(MIN_HEAD_BUFFER));
    let ends_with_connection = EndsWithConnection::default();
    let socket = ClientSocket::new(socket, ends_with_connection.clone());
    let handled = service_fn(move |req: ClientRequest| {
        let service = service.clone();
        let ends_with_connection = ends_with_connection.clone();
        async move {
            let version = req.version();
            let response = service.respond(req).await;
            ends_with_connection.set(is_unframed(version, &response));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(socket), handled);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_phase(&mut phase, Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("ingress: a connection ended: {e}");
    }
}

/// Returns whether a client without chunks gets a response without a length.
fn is_unframed(version: Version, response: &ClientResponse) -> bool {
    let has_length = response.body().size_hint().exact().is_some();
    version < Version::HTTP_11 && !has_length && !response.headers().contains_key(CONTENT_LENGTH)
}
