use {
    super::BackendResponse,
    crate::{
        inbound::{check_head, http_end_cause, ByteMeter, MeteredBody, MeteredSocket},
        sockets::{self, tune_stream},
    },
    bytes::Bytes,
    chalkcart_coordination::response_end::EndCause,
    http::Request,
    http_body_util::Full,
    hyper::{client::conn::http1, ext::on_informational},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Bytes that are read at once; a head must fit.
const READ_BUFFER: usize = 8 * 1024;

/// A connection to a back end that carries one request and is closed when dropped.
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Connection {
    /// Closes the connection and returns once it is closed.
    pub async fn close(mut self) {
        self.0.abort();
        // the only error is the cancellation
        let _ = (&mut self.0).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A send that brought no response.
#[derive(Debug, Error)]
pub enum BackendSendError {
    /// Nothing was sent, so the request did not run.
    #[error("connect to {addr}: {problem}")]
    NotSent { addr: SocketAddr, problem: String },
    /// The connection failed after the request was sent, which may have run.
    #[error("response from {addr}: {problem}")]
    Lost {
        addr: SocketAddr,
        problem: String,
        /// What ended the connection. A back end that closed it reads nothing more from it.
        cause: EndCause,
    },
}

/// Sends one request on a new connection, and returns when the head of the
/// response has arrived.
///
/// A reused connection could still carry the end of an earlier response, or be
/// closed by the back end while the request is sent; docs/design/platform.md
/// has the cost of a new one.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<BackendResponse, BackendSendError> {
    let stream = connect(addr, connect_timeout).await?;
    send_on(stream, addr, req).await
}

/// Opens a connection to a back end.
pub async fn connect(
    addr: SocketAddr,
    connect_timeout: Duration,
) -> Result<TcpStream, BackendSendError> {
    let stream = open(addr, connect_timeout).await;
    stream.map_err(|e| BackendSendError::NotSent {
        addr,
        problem: e.to_string(),
    })
}

/// Sends one request on a connection that was opened for it.
pub async fn send_on(
    stream: TcpStream,
    addr: SocketAddr,
    mut req: Request<Full<Bytes>>,
) -> Result<BackendResponse, BackendSendError> {
    let not_sent = |problem: String| BackendSendError::NotSent { addr, problem };
    let meter = ByteMeter::with_buffer(READ_BUFFER);
    let socket = TokioIo::new(MeteredSocket::new(stream, meter.clone()));
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(socket)
        .await;
    let (mut sender, connection) = handshake.map_err(|e| not_sent(e.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("backend: connection to {addr} ended: {e}");
        }
    }));
    let informational = meter.clone();
    on_informational(&mut req, move |_| informational.on_informational());
    let lost = |problem: String, cause| BackendSendError::Lost {
        addr,
        problem,
        cause,
    };
    let response = sender.send_request(req).await;
    let mut response = response.map_err(|e| lost(e.to_string(), http_end_cause(&e)))?;
    let invalid = |problem: String| lost(problem, EndCause::Invalid);
    let length = check_head(&mut response).map_err(|e| invalid(e.to_string()))?;
    let declared = meter.on_length(length);
    declared.map_err(|e| invalid(e.to_string()))?;
    Ok(BackendResponse {
        response: response.map(|body| MeteredBody::new(body, meter)),
        connection,
    })
}

/// Returns whether a connection to the address is refused: no process listens there.
pub async fn is_refused(addr: SocketAddr, connect_timeout: Duration) -> bool {
    let connected = open(addr, connect_timeout).await;
    connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}

async fn open(addr: SocketAddr, max_duration: Duration) -> io::Result<TcpStream> {
    let connected = timeout(max_duration, sockets::connect(addr)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune_stream(&stream);
    Ok(stream)
}
