use {
    crate::sockets::tune_stream,
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{io, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// a connection to a back end that serves one request; closed when dropped
#[derive(Debug)]
pub struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// the head of a back end's answer, with what its body needs
#[derive(Debug)]
pub struct BackendResponse {
    pub response: Response<Incoming>,
    pub connection: Connection,
}

/// a send that brought no answer
#[derive(Debug, Error)]
pub enum BackendSendError {
    /// nothing was sent: the request did not run
    #[error("connect to {addr}: {problem}")]
    NotSent { addr: SocketAddr, problem: String },
    /// it may have run
    #[error("answer of {addr}: {problem}")]
    Lost { addr: SocketAddr, problem: String },
}

/// send one request on a connection of its own, and return once the head of
/// the answer is there.
///
/// A kept connection could carry the rest of an earlier answer, or be closed
/// under the request; docs/design/platform.md has the price of a new one.
pub async fn send(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    connect_limit: Duration,
) -> Result<BackendResponse, BackendSendError> {
    let not_sent = |problem: String| BackendSendError::NotSent { addr, problem };
    let stream = connect(addr, connect_limit).await;
    let stream = stream.map_err(|e| not_sent(e.to_string()))?;
    let made = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = made.map_err(|e| not_sent(e.to_string()))?;
    let connection = Connection(tokio::spawn(async move {
        if let Err(e) = connection.await {
            log::debug!("backend: connection to {addr} ended: {e}");
        }
    }));
    match sender.send_request(req).await {
        Ok(response) => Ok(BackendResponse {
            response,
            connection,
        }),
        Err(e) => Err(BackendSendError::Lost {
            addr,
            problem: e.to_string(),
        }),
    }
}

async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connected = timeout(limit, TcpStream::connect(addr)).await;
    let stream = connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    tune_stream(&stream);
    Ok(stream)
}
