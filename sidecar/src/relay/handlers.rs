use {
    super::RelayHub,
    chalkcart_protocol::peer::{PublishedRequest, PublishedResponse, RelayDemands, RelayRequest},
    chalkcart_transport::clock,
    chalkcart_transport::server::{
        caller_encoding, caller_version, encoded_frames_reply, message_reply, pages, read_message,
        SharedData,
    },
    gotham::{handler::HandlerResult, state::State},
};

/// an entry says what it needs of engines
pub async fn relay_demands(mut state: State) -> HandlerResult {
    let hub = SharedData::<RelayHub>::of(&state);
    let reply = match read_message::<RelayDemands>(&mut state).await {
        Ok(demands) => {
            hub.on_demands(demands);
            message_reply(&true)
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}

/// an entry asks for the views of the engines that it follows
pub async fn relay_views(mut state: State) -> HandlerResult {
    let hub = SharedData::<RelayHub>::of(&state);
    let form = caller_encoding(&state);
    let reply = match read_message::<RelayRequest>(&mut state).await {
        Ok(ask) => {
            log::info!(entry = ask.entry.as_str(); "relay: entry follows");
            encoded_frames_reply(hub.follow(clock::now(), form))
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}

/// An entry asks what the platform's store publishes. One that says no wire version would
/// take a record of a kind that it does not know for a broken answer: it reads the store.
pub async fn relay_published(mut state: State) -> HandlerResult {
    let hub = SharedData::<RelayHub>::of(&state);
    let is_older = caller_version(&state).is_none();
    let reply = match read_message::<PublishedRequest>(&mut state).await {
        Ok(_) if is_older => message_reply(&PublishedResponse::Stale),
        Ok(ask) => {
            hub.published.on_asked(clock::now());
            hub.changed.notify_one();
            message_reply(&hub.published.answer(&ask).await)
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}
