use {
    super::{ClientError, ClientStep, HttpClient},
    bytes::Bytes,
    chalkcart_protocol::{decode, encode, frame_codec, peer::Frame},
    futures::{Stream, StreamExt, TryStreamExt},
    http::Method,
    http_body_util::BodyExt,
    serde::{de::DeserializeOwned, Serialize},
    std::{io, net::SocketAddr, pin::Pin, time::Duration},
    tokio_util::{codec::FramedRead, io::StreamReader},
};

const CONTENT_TYPE: &str = "application/msgpack";

/// messages as they come in
pub type MessageStream<A> = Pin<Box<dyn Stream<Item = Result<A, ClientError>> + Send>>;
/// frames of an answer as they come in
pub type FrameStream = MessageStream<Frame>;

/// calls between chalkcart's own processes
#[derive(Debug, Clone, Default)]
pub struct PeerClient {
    http: HttpClient,
}

impl PeerClient {
    pub fn new() -> Self {
        Self::default()
    }

    /// send a message and read the answer
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
        limit: Duration,
    ) -> Result<A, ClientError> {
        let body = encoded(peer, message)?;
        let (status, body) = self
            .http
            .exchange(peer, Method::POST, path, CONTENT_TYPE, body, limit)
            .await?;
        if !status.is_success() {
            return Err(ClientError::new(ClientStep::Decode, peer, status));
        }
        decode(&body).map_err(|e| ClientError::new(ClientStep::Decode, peer, e))
    }

    /// send a message and read frames until the peer ends the stream
    pub async fn stream<Q: Serialize, A: DeserializeOwned + 'static>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &Q,
    ) -> Result<MessageStream<A>, ClientError> {
        let body = encoded(peer, message)?;
        let response = self
            .http
            .send(peer, Method::POST, path, CONTENT_TYPE, body)
            .await?;
        if !response.status().is_success() {
            return Err(ClientError::new(
                ClientStep::Decode,
                peer,
                response.status(),
            ));
        }
        let data = response.into_body().into_data_stream();
        let reader = StreamReader::new(data.map_err(io::Error::other));
        let frames = FramedRead::new(reader, frame_codec());
        let decoded = frames.map(move |frame| {
            let frame = frame.map_err(|e| ClientError::new(ClientStep::Receive, peer, e))?;
            decode(&frame).map_err(|e| ClientError::new(ClientStep::Decode, peer, e))
        });
        Ok(Box::pin(decoded))
    }
}

fn encoded<Q: Serialize>(peer: SocketAddr, message: &Q) -> Result<Bytes, ClientError> {
    encode(message).map_err(|e| ClientError::new(ClientStep::Connect, peer, e))
}
