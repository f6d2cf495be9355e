use {
    bytes::Bytes,
    chalkcart_protocol::{
        encode, encode_frame,
        wire::{WireEncoding, WireVersion, PEER_VERSION},
        CodecError,
    },
    futures::{Stream, StreamExt},
    gotham::helpers::http::Body,
    http::{header::CONTENT_TYPE, Response, StatusCode},
    http_body::Frame as BodyFrame,
    http_body_util::{BodyExt, Full, StreamBody},
    serde::Serialize,
    std::{convert::Infallible, io},
};

/// The response type of handlers.
pub type Reply = Response<Body>;

pub fn bytes_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Reply {
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, value);
    reply
}

pub fn text_reply(status: StatusCode, text: impl Into<String>) -> Reply {
    bytes_reply(
        status,
        "text/plain; charset=utf-8",
        Bytes::from(text.into()),
    )
}

pub fn json_reply<T: Serialize>(status: StatusCode, message: &T) -> Reply {
    match serde_json::to_vec(message) {
        Ok(body) => bytes_reply(status, "application/json", body.into()),
        Err(e) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns a response with one message between chalkcart's processes, with field names.
pub fn message_reply<T: Serialize>(message: &T) -> Reply {
    encoded_message_reply(encode(message))
}

/// Returns a response with one message that is already encoded for the caller.
pub fn encoded_message_reply(encoded: Result<Bytes, CodecError>) -> Reply {
    match encoded {
        Ok(body) => with_version(bytes_reply(StatusCode::OK, "application/msgpack", body)),
        Err(e) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns a response with a stream of messages, in the encoding that the caller reads.
pub fn frames_reply<T: Serialize + Send + 'static>(
    frames: impl Stream<Item = T> + Send + 'static,
    encoding: WireEncoding,
) -> Reply {
    let encoded = frames.filter_map(move |frame| async move {
        let encoded = encode_frame(&frame, encoding);
        encoded
            .inspect_err(|e| log::error!("server: frame not sent: {e}"))
            .ok()
    });
    encoded_frames_reply(encoded)
}

/// Adds this build's wire version, which tells the caller how to encode its messages.
pub fn with_version(mut reply: Reply) -> Reply {
    let version = http::HeaderValue::from(WireVersion::CURRENT.0);
    reply.headers_mut().insert(PEER_VERSION, version);
    reply
}

/// Returns a response with a stream of messages that are already encoded.
pub fn encoded_frames_reply(frames: impl Stream<Item = Bytes> + Send + 'static) -> Reply {
    let chunks = frames.map(|chunk| Ok::<_, io::Error>(BodyFrame::data(chunk)));
    let mut reply = Response::new(Body::new(StreamBody::new(chunks)));
    let value = http::HeaderValue::from_static("application/msgpack");
    reply.headers_mut().insert(CONTENT_TYPE, value);
    with_version(reply)
}

fn full_body(body: Bytes) -> Body {
    let never = |e: Infallible| match e {};
    Body::new(Full::new(body).map_err(never))
}
