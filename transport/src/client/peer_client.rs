use {
    super::{
        http_client::receive, ClientError, ClientStep, HttpClient, PeerEncodings, ResponseLimits,
    },
    crate::inbound::MeteredBody,
    bytes::Bytes,
    chalkcart_protocol::{
        decode, frame_codec,
        peer::Frame,
        wire::{encode_as, WireVersion, PEER_VERSION},
    },
    futures::{Stream, StreamExt, TryStreamExt},
    http::{header::CONTENT_TYPE, HeaderMap, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    serde::{de::DeserializeOwned, Serialize},
    std::{io, net::SocketAddr, pin::Pin},
    tokio_util::{codec::FramedRead, io::StreamReader},
};

const MESSAGE_TYPE: &str = "application/msgpack";

/// Messages as they arrive.
pub type MessageStream<A> = Pin<Box<dyn Stream<Item = Result<A, ClientError>> + Send>>;
/// Frames of a response as they arrive.
pub type FrameStream = MessageStream<Frame>;

/// A client for calls between chalkcart's own processes. Their builds may differ, so each
/// request and response carries the sender's wire version.
#[derive(Debug, Clone, Default)]
pub struct PeerClient {
    http: HttpClient,
    encodings: PeerEncodings,
}

impl PeerClient {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the wire version in a peer's last response.
    pub fn version(&self, peer: SocketAddr) -> Option<WireVersion> {
        self.encodings.version(peer)
    }

    /// Sends a message and decodes the response.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limits: impl Into<ResponseLimits>,
    ) -> Result<A, ClientError> {
        let head = self.post_with_fallback(peer, path, message);
        let response = receive(peer, head, limits.into()).await?;
        decode(response.body()).map_err(|e| self.decode_error(peer, e))
    }

    /// Sends a message and reads frames until the peer ends the stream.
    pub async fn stream<Q: Serialize, A: DeserializeOwned + 'static>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<MessageStream<A>, ClientError> {
        let response = self.post_with_fallback(peer, path, message).await?;
        let data = response.into_body().into_data_stream();
        let reader = StreamReader::new(data.map_err(io::Error::other));
        let frames = FramedRead::new(reader, frame_codec());
        let client = self.clone();
        let decoded = frames.map(move |frame| {
            let frame = frame.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))?;
            decode(&frame).map_err(|e| client.decode_error(peer, e))
        });
        Ok(Box::pin(decoded))
    }

    /// Posts a message and returns a successful response. A peer that reports no wire version
    /// and rejects the message gets it once more in the other encoding of such builds.
    async fn post_with_fallback<Q: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<Response<MeteredBody>, ClientError> {
        let mut response = self.post(peer, path, message).await?;
        if response.status() == StatusCode::BAD_REQUEST && self.version(peer).is_none() {
            self.encodings.on_message_rejected(peer);
            response = self.post(peer, path, message).await?;
        }
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::NOT_FOUND => Err(ClientError::new(ClientStep::UnknownPath, peer, path)),
            status => Err(ClientError::new(ClientStep::Decode, peer, status)),
        }
    }

    async fn post<Q: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<Response<MeteredBody>, ClientError> {
        let unsent = |e: &dyn std::fmt::Display| ClientError::new(ClientStep::Connect, peer, e);
        let body = encode_as(message, self.encodings.encoding_for(peer)).map_err(|e| unsent(&e))?;
        let req = request(peer, path, body).map_err(|e| unsent(&e))?;
        let response = self.http.request(peer, req).await?;
        self.encodings
            .on_response(peer, peer_version(response.headers()));
        Ok(response)
    }

    /// Names both wire versions, so that a log shows which builds are incompatible.
    fn decode_error(&self, peer: SocketAddr, e: impl std::fmt::Display) -> ClientError {
        let own = WireVersion::CURRENT;
        let detail = match self.version(peer) {
            Some(version) => format!("{e} (its wire version {version}, own {own})"),
            None => format!("{e} (its wire version before 4, own {own})"),
        };
        ClientError::new(ClientStep::Decode, peer, detail)
    }
}

fn request(peer: SocketAddr, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, http::Error> {
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}{path}"))
        .header(CONTENT_TYPE, MESSAGE_TYPE)
        .header(PEER_VERSION, WireVersion::CURRENT.0)
        .body(Full::new(body))
}

/// Returns the wire version in a head, or `None` if it is absent or malformed.
pub fn peer_version(headers: &HeaderMap) -> Option<WireVersion> {
    headers.get(PEER_VERSION)?.to_str().ok()?.parse().ok()
}
