use {
    chalkcart_coordination::backend_signals::{BackendSignals, LimitSignal},
    chalkcart_state::{
        accounts::{ApiKeyDigest, ApiKeyError},
        backends::{AdapterRef, BackendName},
        ids::BaseModelName,
    },
    http::{HeaderMap, HeaderName, StatusCode},
    std::time::Duration,
    thiserror::Error,
};

/// what a client's head says beyond HTTP
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    pub id: String,
    /// how long the client waits
    pub timeout: Option<Duration>,
    /// the base model, also of requests without an adapter
    pub model: Option<BaseModelName>,
    pub adapter: Option<AdapterRef>,
    /// 0 for requests without a prompt
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// what an entry adds when it sends a request on
#[derive(Debug, Clone)]
pub struct BackendRequestHead<'s> {
    /// time left
    pub time_left: Duration,
    /// the one back end that may run it
    pub backend: &'s BackendName,
    /// the version of the adapter that must run
    pub version: Option<u64>,
    /// 0 is the most urgent, 9 the least
    pub urgency: u8,
    /// the client account that asks
    pub account: Option<&'s str>,
}

/// what a back end's head says beyond HTTP
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendResponseHead {
    /// of the request that it answers
    pub request_id: Option<String>,
    /// the incarnation that answered, if it says so
    pub backend: Option<BackendName>,
    /// it states that the request did not run
    pub proves_not_run: bool,
    /// it bears a back end's signature
    pub is_signed: bool,
    /// the body was encoded on the way
    pub is_encoded: bool,
    /// the back end says that it leaves: it wants no more requests
    pub is_leaving: bool,
    /// time after which the request may come again, if it was turned away
    pub retry_after: Option<Duration>,
    /// how many requests the back end takes
    pub limit: LimitSignal,
    /// how much longer the back end is cold, if it says so
    pub slow_start_left: Option<Duration>,
}

impl BackendResponseHead {
    /// what the back end says of itself in an answer of this status
    pub fn signals(&self, status: StatusCode) -> BackendSignals {
        let turned_away = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        let rest = self.retry_after.filter(|_| turned_away);
        BackendSignals::new(self.is_leaving, rest)
            .with_limit(self.limit)
            .with_slow_start_left(self.slow_start_left)
    }
}

/// a client's head that can't be used
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HeadError {
    #[error("no request id")]
    NoId,
    #[error("{0}: {1:?} can't be read")]
    Value(&'static str, String),
}

/// the names of headers and paths that clients and back ends speak
pub trait Dialect: Send + Sync {
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, HeadError>;
    /// take out of a client's head what only this system and back ends may set;
    /// gives the names
    fn remove_reserved_headers(&self, headers: &mut HeaderMap) -> Vec<HeaderName>;
    /// take a client's key out of its head, where requests carry keys; no back end
    /// is shown one
    fn take_api_key(&self, headers: &mut HeaderMap) -> Result<ApiKeyDigest, ApiKeyError>;
    fn write_backend_request(&self, headers: &mut HeaderMap, send: &BackendRequestHead);
    /// headers that always reach the other end of a request or an answer
    fn end_to_end_headers(&self) -> &'static [HeaderName];
    /// whether this build knows what a header of this name says in an answer
    fn is_known_response_header(&self, name: &HeaderName) -> bool;
    fn read_response(&self, headers: &HeaderMap) -> BackendResponseHead;
    /// mark an answer of our own as one to a request
    fn write_local_response(&self, headers: &mut HeaderMap, request_id: &str);
    /// at which the platform asks whether this process takes connections
    fn readiness_path(&self) -> &'static str;
}
