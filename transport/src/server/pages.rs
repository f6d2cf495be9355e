//! Metrics and health pages, which all processes serve.

use {
    super::{body_refused, replies::with_version, text_reply, BodyError, Reply, SharedData},
    gotham::{handler::HandlerResult, state::State},
    http::StatusCode,
};

/// The state of a process as shown on the pages for operators.
pub trait ProcessStatus: Send + Sync + 'static {
    /// Returns the text of `/metrics`.
    fn metrics_text(&self) -> String;
    /// Returns whether the process accepts new work.
    fn is_ready(&self) -> bool;
}

/// Handles `/metrics`.
pub async fn metrics<T: ProcessStatus>(state: State) -> HandlerResult {
    let text = SharedData::<T>::of(&state).metrics_text();
    Ok((state, text_reply(StatusCode::OK, text)))
}

/// Handles `/healthz`: the process is running.
pub async fn healthz(state: State) -> HandlerResult {
    Ok((state, text_reply(StatusCode::OK, "ok\n")))
}

/// Handles `/readyz`: the process accepts new work.
pub async fn readyz<T: ProcessStatus>(state: State) -> HandlerResult {
    let reply = match SharedData::<T>::of(&state).is_ready() {
        true => text_reply(StatusCode::OK, "ready\n"),
        false => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Ok((state, reply))
}

/// Returns the response to a message that can't be decoded.
pub fn bad_message(e: &BodyError) -> Reply {
    match e {
        BodyError::Receive(fault) => body_refused(*fault),
        BodyError::Codec(_) | BodyError::Json(_) => {
            with_version(text_reply(StatusCode::BAD_REQUEST, e.to_string()))
        }
    }
}
