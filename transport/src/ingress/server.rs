use {
    super::ProxyBody,
    crate::sockets::tune_stream,
    async_trait::async_trait,
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{Either, Full},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// pause after a failed accept, so that a lack of descriptors is no busy loop
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// smallest buffer for heads that hyper takes
const MIN_HEAD_BUFFER: usize = 8 * 1024;

pub type ClientRequest = Request<Incoming>;
/// an answer of our own, or one that is passed on
pub type ClientBody = Either<Full<Bytes>, ProxyBody>;
pub type ClientResponse = Response<ClientBody>;

/// where the process stands
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// answers announce that their connection closes
    Draining,
    /// connections at rest are closed, and no new one is taken
    Closing,
}

/// answers clients' requests
#[async_trait]
pub trait IngressService: Send + Sync + 'static {
    async fn respond(&self, req: ClientRequest) -> ClientResponse;
    /// largest head that a client may send, in bytes
    fn max_header_bytes(&self) -> usize;
    /// time to receive a head, from the end of the answer before
    fn header_timeout(&self) -> Duration;
}

/// serve clients until the phase is `Closing`; returns when the last
/// connection has ended
pub async fn serve(
    listener: TcpListener,
    service: Arc<dyn IngressService>,
    mut phase: watch::Receiver<Phase>,
) {
    let (alive, mut all_ended) = tokio::sync::mpsc::channel::<Infallible>(1);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((socket, addr)) => {
                    let connection = serve_connection(socket, addr, service.clone(), phase.clone());
                    let alive = alive.clone();
                    tokio::spawn(async move {
                        connection.await;
                        drop(alive);
                    });
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            () = reached(&mut phase, Phase::Closing) => break,
        }
    }
    drop(listener);
    drop(alive);
    // nothing is ever sent: this waits for the last sender to be dropped
    all_ended.recv().await;
}

async fn reached(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // an error says that the process is at its end
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

async fn serve_connection(
    socket: TcpStream,
    addr: SocketAddr,
    service: Arc<dyn IngressService>,
    mut phase: watch::Receiver<Phase>,
) {
    tune_stream(&socket);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(service.header_timeout())
        .max_buf_size(service.max_header_bytes().max(MIN_HEAD_BUFFER));
    let handled = service_fn(move |req| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.respond(req).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(socket), handled);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = reached(&mut phase, Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("ingress: connection of {addr} ended: {e}");
    }
}
