use {
    super::CrashAggregator,
    chalkcart_protocol::peer::CrashRequest,
    chalkcart_transport::server::{message_reply, pages, read_message, SharedData},
    gotham::{handler::HandlerResult, state::State},
};

/// an entry tells what it knows, and asks for what others have told
pub async fn crash_reports(mut state: State) -> HandlerResult {
    let keeper = SharedData::<CrashAggregator>::of(&state);
    let reply = match read_message::<CrashRequest>(&mut state).await {
        Ok(ask) => message_reply(&keeper.answer(ask).await),
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}
