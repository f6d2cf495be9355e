use {
    super::CrashAggregator,
    chalkcart_protocol::peer::CrashRequest,
    chalkcart_transport::server::{message_reply, pages, read_message, SharedData},
    gotham::{handler::HandlerResult, state::State},
};

/// Receives an entry's crash reports and returns those of other entries.
pub async fn crash_reports(mut state: State) -> HandlerResult {
    let aggregator = SharedData::<CrashAggregator>::of(&state);
    let reply = match read_message::<CrashRequest>(&mut state).await {
        Ok(request) => message_reply(&aggregator.response(request).await),
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}
