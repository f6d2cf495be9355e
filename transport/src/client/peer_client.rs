use {
    super::{ClientError, ClientStep, HttpClient, PeerEncodings},
    bytes::Bytes,
    chalkcart_protocol::{
        decode, frame_codec,
        peer::Frame,
        wire::{encode_as, WireVersion, PEER_VERSION},
    },
    futures::{Stream, StreamExt, TryStreamExt},
    http::{header::CONTENT_TYPE, HeaderMap, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    serde::{de::DeserializeOwned, Serialize},
    std::{io, net::SocketAddr, pin::Pin, time::Duration},
    tokio::time::timeout,
    tokio_util::{codec::FramedRead, io::StreamReader},
};

const MESSAGE_TYPE: &str = "application/msgpack";

/// messages as they come in
pub type MessageStream<A> = Pin<Box<dyn Stream<Item = Result<A, ClientError>> + Send>>;
/// frames of an answer as they come in
pub type FrameStream = MessageStream<Frame>;

/// Calls between chalkcart's own processes, whose builds may differ: each side says its wire
/// version with each call and each answer.
#[derive(Debug, Clone, Default)]
pub struct PeerClient {
    http: HttpClient,
    encodings: PeerEncodings,
}

impl PeerClient {
    pub fn new() -> Self {
        Self::default()
    }

    /// what a peer said of itself with its last answer
    pub fn version(&self, peer: SocketAddr) -> Option<WireVersion> {
        self.encodings.version(peer)
    }

    /// send a message and read the answer
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, ClientError> {
        let call = async {
            let response = self.post_read(peer, path, message).await?;
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))?;
            decode(&body.to_bytes()).map_err(|e| self.not_decoded(peer, e))
        };
        let late = |_| {
            let detail = format!("no answer within {} ms", limit.as_millis());
            ClientError::new(ClientStep::Send, peer, detail)
        };
        timeout(limit, call).await.map_err(late)?
    }

    /// send a message and read frames until the peer ends the stream
    pub async fn stream<Q: Serialize, A: DeserializeOwned + 'static>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<MessageStream<A>, ClientError> {
        let response = self.post_read(peer, path, message).await?;
        let data = response.into_body().into_data_stream();
        let reader = StreamReader::new(data.map_err(io::Error::other));
        let frames = FramedRead::new(reader, frame_codec());
        let client = self.clone();
        let decoded = frames.map(move |frame| {
            let frame = frame.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))?;
            decode(&frame).map_err(|e| client.not_decoded(peer, e))
        });
        Ok(Box::pin(decoded))
    }

    /// Post a message, in the other form of builds that say no version if the peer can't
    /// read the first one. Gives an answer of success.
    async fn post_read<Q: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<Response<Incoming>, ClientError> {
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
    ) -> Result<Response<Incoming>, ClientError> {
        let unsent = |e: &dyn std::fmt::Display| ClientError::new(ClientStep::Connect, peer, e);
        let body = encode_as(message, self.encodings.encoding_for(peer)).map_err(|e| unsent(&e))?;
        let req = request(peer, path, body).map_err(|e| unsent(&e))?;
        let response = self.http.request(peer, req).await?;
        self.encodings
            .on_response(peer, peer_version(response.headers()));
        Ok(response)
    }

    /// with both versions, so that a log tells which builds do not understand each other
    fn not_decoded(&self, peer: SocketAddr, e: impl std::fmt::Display) -> ClientError {
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

/// the wire version that a head says; one that can't be read counts as none
pub fn peer_version(headers: &HeaderMap) -> Option<WireVersion> {
    headers.get(PEER_VERSION)?.to_str().ok()?.parse().ok()
}
