use {
    chalkcart_coordination::{
        backend_signals::{BackendSignals, LimitSignal},
        stream_recovery::EventId,
    },
    chalkcart_state::{
        accounts::{ApiKeyDigest, ApiKeyError},
        backends::{AdapterRef, BackendName},
        ids::{BaseModelName, RequestId},
        ingress::SharedParts,
    },
    http::{HeaderMap, HeaderName, StatusCode},
    std::time::Duration,
    thiserror::Error,
};

/// The platform's fields in the head of a client's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    pub id: String,
    /// How long the client waits for the response.
    pub timeout: Option<Duration>,
    /// The base model, which requests without an adapter have as well.
    pub model: Option<BaseModelName>,
    pub adapter: Option<AdapterRef>,
    /// 0 for a request without a prompt.
    pub prompt_tokens: u32,
    /// The parts of the prompt that other requests may have too.
    pub shared_parts: SharedParts,
    /// The most tokens that the response may have.
    pub output_tokens: u32,
    /// The client's estimate of the response's tokens: right at the median, often far off.
    pub expected_output_tokens: Option<u32>,
    /// The last event that the client has of a stream that it takes up.
    pub last_event: Option<EventId>,
    /// Whether the client takes a stream up, also after an event whose id can't be read.
    pub takes_up: bool,
    /// The client's attempt that brought the first event of that stream; `None` if it is not
    /// named or can't be read.
    pub first_attempt: Option<RequestId>,
}

impl RequestHead {
    /// Returns the expected tokens of the response: the client's estimate, at most what it
    /// allows.
    pub fn response_tokens(&self) -> u32 {
        let expected = self.expected_output_tokens.unwrap_or(self.output_tokens);
        expected.min(self.output_tokens)
    }
}

/// The fields that an entry adds to a request that it forwards to a back end.
#[derive(Debug, Clone)]
pub struct BackendRequestHead<'s> {
    /// The time left until the request's deadline.
    pub time_left: Duration,
    /// The only back end that may run the request.
    pub backend: &'s BackendName,
    /// The version of the adapter that must be used.
    pub version: Option<u64>,
    /// From 0, the most urgent, to 9.
    pub urgency: u8,
    /// The client account that sent the request.
    pub account: Option<&'s str>,
    /// The last event that the client has of a stream that this entry resumes; `None` leaves
    /// the client's own.
    pub last_event: Option<EventId>,
}

/// The platform's fields in the head of a back end's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendResponseHead {
    /// The id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// The incarnation that sent the response, if named.
    pub backend: Option<BackendName>,
    /// Whether the back end states that the request did not run.
    pub proves_not_run: bool,
    /// Whether the head has a back end's signature.
    pub is_signed: bool,
    /// Whether the body has a content encoding.
    pub is_encoded: bool,
    /// Whether the back end is shutting down and accepts no more requests.
    pub is_leaving: bool,
    /// Time after which a rejected request may be repeated.
    pub retry_after: Option<Duration>,
    /// The request rate that the back end accepts.
    pub limit: LimitSignal,
    /// The remaining duration of the back end's slow start, if reported.
    pub slow_start_left: Option<Duration>,
}

impl BackendResponseHead {
    /// Returns the back end's signals in a response of this status.
    pub fn signals(&self, status: StatusCode) -> BackendSignals {
        let is_rejected = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let backoff = self.retry_after.filter(|_| is_rejected);
        BackendSignals::new(self.is_leaving, backoff)
            .with_limit(self.limit)
            .with_slow_start_left(self.slow_start_left)
    }
}

/// A malformed head of a client's request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    #[error("no request id")]
    NoId,
    #[error("{0}: {1:?} can't be read")]
    Value(&'static str, String),
}

/// The platform's conventions for headers and paths of clients and back ends.
pub trait Dialect: Send + Sync {
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, HeadError>;
    /// Removes headers that clients may not set from a client's head, and returns
    /// their names.
    fn remove_reserved_headers(&self, headers: &mut HeaderMap) -> Vec<HeaderName>;
    /// Removes the API key from a client's head, as back ends must not see it, and
    /// returns its digest.
    fn take_api_key(&self, headers: &mut HeaderMap) -> Result<ApiKeyDigest, ApiKeyError>;
    fn write_backend_request(&self, headers: &mut HeaderMap, head: &BackendRequestHead);
    /// Returns headers that no `Connection` header removes.
    fn end_to_end_headers(&self) -> &'static [HeaderName];
    /// Returns whether this build knows a response header of this name.
    fn is_known_response_header(&self, name: &HeaderName) -> bool;
    fn read_response(&self, headers: &HeaderMap) -> BackendResponseHead;
    /// Adds the request's id to a response that this process generates itself.
    fn write_local_response(&self, headers: &mut HeaderMap, request_id: &str);
    /// Returns the path of the platform's readiness probe.
    fn readiness_path(&self) -> &'static str;
}
