use {
    super::RelayHub,
    chalkcart_protocol::{
        peer::{PublishedRequest, PublishedResponse, RelayDemands, RelayRequest},
        wire::WireVersion,
    },
    chalkcart_transport::clock,
    chalkcart_transport::server::{
        caller_encoding, caller_version, encoded_frames_reply, encoded_message_reply,
        message_reply, pages, read_message, SharedData,
    },
    gotham::{handler::HandlerResult, state::State},
};

/// Wire version from which on a caller knows the response that the first read of the store is
/// under way.
const FIRST_READ_MIN_VERSION: WireVersion = WireVersion(6);

/// Receives the demands of an entry or of a relay of another zone.
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

/// Streams the views of engines to an entry or to a relay of another zone.
pub async fn relay_views(mut state: State) -> HandlerResult {
    let hub = SharedData::<RelayHub>::of(&state);
    let encoding = caller_encoding(&state);
    let reply = match read_message::<RelayRequest>(&mut state).await {
        Ok(request) => {
            log::info!(entry = request.entry.as_str(), relay = request.is_relay;
                "relay: entry connected");
            encoded_frames_reply(hub.updates(clock::now(), request.is_relay, encoding))
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}

/// Returns records of the platform's store to an entry.
///
/// An entry that sends no wire version can't parse records of an unknown kind. It gets a
/// stale response, so that it reads the store itself.
pub async fn relay_published(mut state: State) -> HandlerResult {
    let hub = SharedData::<RelayHub>::of(&state);
    let (version, encoding) = (caller_version(&state), caller_encoding(&state));
    let reply = match read_message::<PublishedRequest>(&mut state).await {
        Ok(_) if version.is_none() => message_reply(&PublishedResponse::Stale),
        Ok(request) => {
            hub.store_cache.on_request(clock::now());
            hub.changed.notify_one();
            let is_start_known = version >= Some(FIRST_READ_MIN_VERSION);
            let response = hub.store_cache.response(&request, is_start_known, encoding);
            encoded_message_reply(response.await)
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}
