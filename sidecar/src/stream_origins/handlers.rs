use {
    super::KeptOrigins,
    chalkcart_protocol::peer::StreamOriginsRequest,
    chalkcart_transport::server::{message_reply, pages, read_message, SharedData},
    gotham::{handler::HandlerResult, state::State},
};

/// Keeps origins of streams, and returns those that the entry asks for.
pub async fn stream_origins(mut state: State) -> HandlerResult {
    let kept = SharedData::<KeptOrigins>::of(&state);
    let reply = match read_message::<StreamOriginsRequest>(&mut state).await {
        Ok(request) => message_reply(&kept.response(request)),
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}
