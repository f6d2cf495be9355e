use {
    super::{
        accept::{accept, set_queue, AcceptPacing, ConnectionControl, RequestPlace},
        client_socket::{ClientSocket, EndsWithConnection},
        counted_body::{CountedBody, RequestGuard},
        ProxyBody,
    },
    crate::clients::{Connection, HoldingBody},
    crate::{sockets::tune_client, supervision::contained},
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
    std::{
        convert::Infallible,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, watch},
        task::yield_now,
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
    let (alive, mut all_ended) = mpsc::channel::<Infallible>(1);
    let mut acceptor = Acceptor {
        listener,
        service,
        control,
        phase: phase.clone(),
        queue: AcceptPacing::default().queue,
        alive,
    };
    loop {
        tokio::select! {
            // after one that failed, the listener still has the connections that wait
            step = contained("accept", acceptor.step()) => {
                if step.is_none() {
                    sleep(ACCEPT_PAUSE).await;
                }
            }
            () = wait_for_phase(&mut phase, Phase::Closing) => break,
        }
    }
    drop(acceptor);
    // Nothing is sent; `recv` returns when the last sender has been dropped.
    all_ended.recv().await;
}

/// Takes connections from the queue of the listening socket.
struct Acceptor {
    listener: TcpListener,
    service: Arc<dyn IngressService>,
    control: Arc<dyn ConnectionControl>,
    phase: watch::Receiver<Phase>,
    /// Length of the socket's queue.
    queue: usize,
    alive: mpsc::Sender<Infallible>,
}

impl Acceptor {
    async fn step(&mut self) {
        let pacing = self.control.accept_pacing();
        if pacing.queue != self.queue {
            self.queue = pacing.queue;
            set_queue(&self.listener, self.queue);
        }
        if pacing.batch > 0 {
            self.accept(pacing.batch).await;
        }
        match pacing.interval.is_zero() {
            // the timers that measure the delay have their turn too
            true => yield_now().await,
            false => sleep(pacing.interval).await,
        }
    }

    async fn accept(&self, batch: usize) {
        match accept(&self.listener, self.control.as_ref(), batch).await {
            Ok(clients) => clients
                .into_iter()
                .for_each(|(socket, place)| self.spawn(socket, place)),
            Err(e) => {
                self.control.on_accept_failed(&e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    fn spawn(&self, socket: TcpStream, place: Connection) {
        let guard = EndGuard {
            control: self.control.clone(),
            _alive: self.alive.clone(),
        };
        let (service, control) = (self.service.clone(), self.control.clone());
        let connection = serve_connection(socket, place, service, control, self.phase.clone());
        tokio::spawn(async move {
            connection.await;
            drop(guard);
        });
    }
}

/// Reports the end of a connection when it is dropped.
struct EndGuard {
    control: Arc<dyn ConnectionControl>,
    _alive: mpsc::Sender<Infallible>,
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        self.control.on_connection_ended();
    }
}

async fn wait_for_phase(phase: &mut watch::Receiver<Phase>, wanted: Phase) {
    // An error means that the process is exiting.
    let _ = phase.wait_for(|phase| *phase >= wanted).await;
}

async fn serve_connection(
    socket: TcpStream,
    place: Connection,
    service: Arc<dyn IngressService>,
    control: Arc<dyn ConnectionControl>,
    mut phase: watch::Receiver<Phase>,
) {
    tune_client(&socket);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(service.header_timeout())
        .max_buf_size(service.max_header_bytes().max(MIN_HEAD_BUFFER));
    let ends_with_connection = EndsWithConnection::default();
    let socket = ClientSocket::new(socket, ends_with_connection.clone(), place.clone());
    let holder = place.clone();
    let has_request = AtomicBool::new(false);
    let handled = service_fn(move |mut req: ClientRequest| {
        let place = match has_request.swap(true, Ordering::Relaxed) {
            false => RequestPlace::First,
            true => RequestPlace::Later,
        };
        let guard = RequestGuard::start(control.clone(), place);
        let service = service.clone();
        let ends_with_connection = ends_with_connection.clone();
        let (busy, held) = (holder.begin(), holder.request());
        if let Some(held) = &held {
            req.extensions_mut().insert(held.clone());
        }
        async move {
            let version = req.version();
            let mut response = service.respond(req).await;
            // a back end's version tells nothing about this connection; hyper lowers it for a
            // client that has an older one
            *response.version_mut() = Version::HTTP_11;
            ends_with_connection.set(is_unframed(version, &response));
            let response = response.map(|body| HoldingBody::new(body, held, busy));
            let response = response.map(|body| CountedBody::new(body, guard));
            Ok::<_, Infallible>(response)
        }
    });
    let connection = builder.serve_connection(TokioIo::new(socket), handled);
    tokio::pin!(connection);
    let ended = tokio::select! {
        // what has arrived is read before a client is told that it was late
        biased;
        ended = connection.as_mut() => ended,
        () = wait_for_phase(&mut phase, Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        _ = place.gives_way() => match place.may_be_answered() {
            true => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
            false => return,
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
