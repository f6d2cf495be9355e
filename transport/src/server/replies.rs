use {
    bytes::Bytes,
    chalkcart_protocol::{
        encode, encode_frame,
        wire::{WireEncoding, WireVersion, PEER_VERSION},
    },
    futures::{Stream, StreamExt},
    gotham::helpers::http::Body,
    http::{header::CONTENT_TYPE, Response, StatusCode},
    http_body::Frame as BodyFrame,
    http_body_util::{BodyExt, Full, StreamBody},
    serde::Serialize,
    std::{convert::Infallible, io},
};

/// what handlers return
pub type Reply = Response<Body>;

/// any content
pub fn bytes_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(whole_body(body));
    *reply.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, value);
    reply
}

/// plain text
pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Reply {
    bytes_reply(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(text.into()),
    )
}

/// JSON
pub fn json_reply<T: Serialize>(status: StatusCode, message: &T) -> Reply {
    match serde_json::to_vec(message) {
        Ok(body) => bytes_reply(status, "application/json", body.into()),
        Err(e) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// a message between our processes
pub fn message_reply<T: Serialize>(message: &T) -> Reply {
    match encode(message) {
        Ok(body) => with_version(bytes_reply(StatusCode::OK, "application/msgpack", body)),
        Err(e) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// a stream of messages, in the form in which who asks reads them
pub fn frames_reply<T: Serialize + Send + 'static>(
    frames: impl Stream<Item = T> + Send + 'static,
    form: WireEncoding,
) -> Reply {
    let encoded = frames.filter_map(move |frame| async move {
        let encoded = encode_frame(&frame, form);
        encoded
            .inspect_err(|e| log::error!("server: frame not sent: {e}"))
            .ok()
    });
    encoded_frames_reply(encoded)
}

/// this build's wire version, so that who asks writes what it can read
pub fn with_version(mut reply: Reply) -> Reply {
    let version = http::HeaderValue::from(WireVersion::CURRENT.0);
    reply.headers_mut().insert(PEER_VERSION, version);
    reply
}

/// a stream of messages that were encoded before
pub fn encoded_frames_reply(frames: impl Stream<Item = Bytes> + Send + 'static) -> Reply {
    let chunks = frames.map(|chunk| Ok::<_, io::Error>(BodyFrame::data(chunk)));
    let mut reply = Response::new(Body::new(StreamBody::new(chunks)));
    let value = http::HeaderValue::from_static("application/msgpack");
    reply.headers_mut().insert(CONTENT_TYPE, value);
    with_version(reply)
}

fn whole_body(body: Bytes) -> Body {
    let never = |e: Infallible| match e {};
    Body::new(Full::new(body).map_err(never))
}
