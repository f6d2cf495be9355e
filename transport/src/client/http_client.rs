use {
    super::{ClientError, ClientStep, ResponseLimits},
    crate::inbound::{check_head, MeteredBody, MeteredConnector},
    bytes::{Bytes, BytesMut},
    http::{header::CONTENT_TYPE, Method, Request, Response, StatusCode, Uri},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{connect::HttpConnector, Client},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{error::Error, future::Future, io, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than the idle timeout of any chalkcart server.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that are read at once; a head must fit.
const READ_BUFFER: usize = 64 * 1024;

/// A status and a decoded JSON body.
#[derive(Debug)]
pub struct JsonReply<T> {
    pub status: StatusCode,
    pub body: T,
}

/// A pooled HTTP/1 client whose errors tell whether the peer can have seen the call.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client<MeteredConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        // as `sockets::connect` says
        connector.set_reuse_address(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            // Only the caller knows whether the request may be repeated.
            .retry_canceled_requests(false)
            .http1_max_buf_size(READ_BUFFER)
            .build(MeteredConnector::new(connector, READ_BUFFER));
        Self { client }
    }

    /// Sends a request, and returns when the head of the response has arrived.
    pub async fn send(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
    ) -> Result<Response<MeteredBody>, ClientError> {
        let uri: Uri = format!("http://{peer}{path}")
            .parse()
            .map_err(|e| ClientError::new(ClientStep::Connect, peer, e))?;
        let req = Request::builder()
            .method(method)
            .uri(uri)
            .header(CONTENT_TYPE, content_type)
            .body(Full::new(body))
            .map_err(|e| ClientError::new(ClientStep::Connect, peer, e))?;
        self.request(peer, req).await
    }

    /// Sends a request whose URI names the peer, and returns when the head of the
    /// response has arrived.
    pub async fn request(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<MeteredBody>, ClientError> {
        let mut response = self.client.request(req).await.map_err(|e| {
            let step = match e.is_connect() {
                true if is_refused(&e) => ClientStep::Refused,
                true => ClientStep::Connect,
                false => ClientStep::Send,
            };
            ClientError::new(step, peer, detail(&e))
        })?;
        // its connection is closed with the body, which nobody reads
        let length = check_head(&mut response);
        let length = length.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))?;
        let response = MeteredBody::of_response(response, length);
        response.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))
    }

    /// Sends a request and reads the complete response with its head within time limits.
    pub async fn fetch(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
        limits: impl Into<ResponseLimits>,
    ) -> Result<Response<Bytes>, ClientError> {
        let send = self.send(peer, method, path, content_type, body);
        receive(peer, send, limits.into()).await
    }

    /// Sends a request and reads the complete response within time limits.
    pub async fn exchange(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        content_type: &str,
        body: Bytes,
        limits: impl Into<ResponseLimits>,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let call = self.fetch(peer, method, path, content_type, body, limits);
        let response = call.await?;
        Ok((response.status(), response.into_body()))
    }

    /// Posts a JSON message and decodes the JSON response.
    pub async fn post_json<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<JsonReply<A>, ClientError> {
        let body = serde_json::to_vec(message)
            .map_err(|e| ClientError::new(ClientStep::Connect, peer, e))?;
        let (status, body) = self
            .exchange(
                peer,
                Method::POST,
                path,
                "application/json",
                body.into(),
                limit,
            )
            .await?;
        decode_json(peer, status, &body)
    }

    pub async fn get_json<A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        limit: Duration,
    ) -> Result<JsonReply<A>, ClientError> {
        let (status, body) = self
            .exchange(
                peer,
                Method::GET,
                path,
                "application/json",
                Bytes::new(),
                limit,
            )
            .await?;
        decode_json(peer, status, &body)
    }
}

/// Waits for the head of a response and reads its body within time limits.
pub(super) async fn receive(
    peer: SocketAddr,
    head: impl Future<Output = Result<Response<MeteredBody>, ClientError>>,
    limits: ResponseLimits,
) -> Result<Response<Bytes>, ClientError> {
    let call = async {
        let response = within(peer, limits.head, head).await?;
        let (parts, body) = response.into_parts();
        let body = collect(peer, body, limits).await?;
        Ok(Response::from_parts(parts, body))
    };
    within(peer, limits.total, call).await
}

async fn within<T>(
    peer: SocketAddr,
    limit: Duration,
    call: impl Future<Output = Result<T, ClientError>>,
) -> Result<T, ClientError> {
    let timed_out = |_| {
        let detail = format!("no answer within {} ms", limit.as_millis());
        ClientError::new(ClientStep::Send, peer, detail)
    };
    timeout(limit, call).await.map_err(timed_out)?
}

/// Reads a body within limits.
pub async fn read_body(
    peer: SocketAddr,
    body: MeteredBody,
    limits: ResponseLimits,
) -> Result<Bytes, ClientError> {
    within(peer, limits.total, collect(peer, body, limits)).await
}

/// Reads a body that is short enough and whose parts are close enough.
async fn collect(
    peer: SocketAddr,
    mut body: MeteredBody,
    limits: ResponseLimits,
) -> Result<Bytes, ClientError> {
    body.set_max_bytes(limits.bytes);
    let mut collected = BytesMut::new();
    loop {
        let part = async { Ok(body.frame().await) };
        let Some(part) = within(peer, limits.pause, part).await? else {
            return Ok(collected.freeze());
        };
        let part = part.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))?;
        if let Ok(data) = part.into_data() {
            collected.extend_from_slice(&data);
        }
    }
}

fn decode_json<A: DeserializeOwned>(
    peer: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<JsonReply<A>, ClientError> {
    let body = serde_json::from_slice(body)
        .map_err(|e| ClientError::new(ClientStep::Decode, peer, format!("{status}: {e}")))?;
    Ok(JsonReply { status, body })
}

/// Returns whether an error or one of its causes is a refused connection.
fn is_refused(e: &(dyn Error + 'static)) -> bool {
    let io = e.downcast_ref::<io::Error>();
    let is_refusal = io.is_some_and(|io| io.kind() == io::ErrorKind::ConnectionRefused);
    is_refusal || e.source().is_some_and(is_refused)
}

/// Formats an error with its causes.
fn detail(e: &dyn Error) -> String {
    match e.source() {
        Some(source) => format!("{e}: {}", detail(source)),
        None => e.to_string(),
    }
}
