use {
    super::Connection,
    crate::inbound::MeteredBody,
    chalkcart_coordination::response_end::{Framing, ResponseProgress},
    http::{
        header::{CONTENT_TYPE, TRANSFER_ENCODING},
        response::Parts,
        HeaderMap, Response,
    },
    http_body::Body,
};

const EVENT_STREAM: &str = "text/event-stream";
const CHUNKED: &str = "chunked";

/// The head of a back end's response, with the connection that its body is read from.
#[derive(Debug)]
pub struct BackendResponse {
    pub response: Response<MeteredBody>,
    pub connection: Connection,
}

/// The body of a back end's response.
#[derive(Debug)]
pub struct BackendBody {
    pub body: MeteredBody,
    pub connection: Connection,
    pub progress: ResponseProgress,
}

impl BackendResponse {
    /// Returns what marks the end of the body.
    pub fn framing(&self) -> Framing {
        let size = self.response.body().size_hint();
        if size.exact().is_some() {
            return Framing::Length;
        }
        match is_chunked(self.response.headers()) {
            true => Framing::Chunks,
            false => Framing::Connection,
        }
    }

    /// Returns whether the head names the format of events, or none.
    pub fn may_have_events(&self) -> bool {
        let content_type = self.response.headers().get(CONTENT_TYPE);
        content_type.is_none_or(|value| {
            let essence = value.to_str().unwrap_or_default().split(';').next();
            essence.is_some_and(|essence| essence.trim().eq_ignore_ascii_case(EVENT_STREAM))
        })
    }

    /// Returns whether the head names the format of events.
    pub fn has_events(&self) -> bool {
        self.response.headers().contains_key(CONTENT_TYPE) && self.may_have_events()
    }

    /// Splits off the body; `is_event_stream` tells whether its format is that of events.
    pub fn into_parts(self, is_event_stream: bool) -> (Parts, BackendBody) {
        let progress = ResponseProgress::new(self.framing(), is_event_stream);
        let (parts, body) = self.response.into_parts();
        let body = BackendBody {
            body,
            connection: self.connection,
            progress,
        };
        (parts, body)
    }
}

/// Returns whether the last transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}
