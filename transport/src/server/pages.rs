//! the pages that operators' tools read, alike on each process

use {
    super::{replies::with_version, text_reply, BodyError, Reply, SharedData},
    gotham::{handler::HandlerResult, state::State},
    http::StatusCode,
};

/// a process that its operators can look at
pub trait ProcessStatus: Send + Sync + 'static {
    /// the text of `/metrics`
    fn metrics_text(&self) -> String;
    /// whether it takes new work
    fn is_ready(&self) -> bool;
}

/// `/metrics`
pub async fn metrics<T: ProcessStatus>(state: State) -> HandlerResult {
    let text = SharedData::<T>::of(&state).metrics_text();
    Ok((state, text_reply(StatusCode::OK, text)))
}

/// `/healthz`: the process lives
pub async fn healthz(state: State) -> HandlerResult {
    Ok((state, text_reply(StatusCode::OK, "ok\n")))
}

/// `/readyz`: the process takes new work
pub async fn readyz<T: ProcessStatus>(state: State) -> HandlerResult {
    let reply = match SharedData::<T>::of(&state).is_ready() {
        true => text_reply(StatusCode::OK, "ready\n"),
        false => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Ok((state, reply))
}

/// the answer to a message that can't be read
pub fn bad_message(e: &BodyError) -> Reply {
    with_version(text_reply(StatusCode::BAD_REQUEST, e.to_string()))
}
