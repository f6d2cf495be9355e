//! Responses to requests for which a process has no room, or whose body isn't there.

use {
    super::{replies::with_version, text_reply, Reply},
    crate::clients::BodyFault,
    http::{header::RETRY_AFTER, HeaderValue, StatusCode},
};

/// Seconds after which a client may ask again.
const RETRY_AFTER_S: u64 = 1;

/// Returns the response to a request that was not handled.
pub fn body_refused(fault: BodyFault) -> Reply {
    let status = match fault {
        BodyFault::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyFault::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        BodyFault::Late => StatusCode::REQUEST_TIMEOUT,
        BodyFault::Broken => StatusCode::BAD_REQUEST,
    };
    let mut reply = with_version(text_reply(status, format!("{fault}\n")));
    if fault == BodyFault::NoRoom {
        let after = HeaderValue::from(RETRY_AFTER_S);
        reply.headers_mut().insert(RETRY_AFTER, after);
    }
    reply
}
