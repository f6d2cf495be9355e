use {
    super::{PeerEncodingsByHost, SharedData},
    crate::client::peer_version,
    bytes::Bytes,
    chalkcart_protocol::{
        decode,
        wire::{has_text_ids, WireEncoding, WireVersion},
        CodecError, MAX_MESSAGE_BYTES,
    },
    gotham::{
        helpers::http::Body,
        state::{client_addr, FromState, State},
    },
    http::HeaderMap,
    http_body_util::{BodyExt, Limited},
    serde::de::DeserializeOwned,
    thiserror::Error,
};

/// of messages of one machine that can't be read, one in so many is logged
const LOG_EVERY: u64 = 1_000;

/// a request body that can't be read
#[derive(Debug, Error)]
pub enum BodyError {
    #[error("body not received: {0}")]
    Receive(String),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error("body is not the JSON expected: {0}")]
    Json(#[from] serde_json::Error),
}

/// take the whole body out of a request, up to the largest message
pub async fn read_body(state: &mut State) -> Result<Bytes, BodyError> {
    let body = Body::take_from(state);
    let collected = Limited::new(body, MAX_MESSAGE_BYTES).collect().await;
    let collected = collected.map_err(|e| BodyError::Receive(e.to_string()))?;
    Ok(collected.to_bytes())
}

/// read a message between our processes
pub async fn read_message<T: DeserializeOwned>(state: &mut State) -> Result<T, BodyError> {
    let body = read_body(state).await?;
    if caller_version(state).is_none() {
        note_asker(state, &body);
    }
    let message = decode(&body);
    if let Err(e) = &message {
        log_unread(state, e);
    }
    Ok(message?)
}

/// said once for each machine, and then at each thousandth message
fn log_unread(state: &State, e: &CodecError) {
    let Some(asker) = client_addr(state) else {
        return;
    };
    let askers = SharedData::<PeerEncodingsByHost>::try_of(state);
    let unread = askers.map_or(0, |askers| askers.count_undecodable(asker.ip()));
    if unread % LOG_EVERY != 1 {
        return;
    }
    let version = caller_version(state).map_or(0, |version| version.0);
    log::warn!(
        asker = asker.to_string().as_str(),
        its_version = version,
        own_version = WireVersion::CURRENT.0,
        unread = unread,
        cause = e.to_string().as_str();
        "peers: message not read"
    );
}

/// the wire version of who asks, none of a build that does not say it
pub fn caller_version(state: &State) -> Option<WireVersion> {
    peer_version(HeaderMap::borrow_from(state))
}

/// the form in which who asks reads frames
pub fn caller_encoding(state: &State) -> WireEncoding {
    let version = caller_version(state);
    let askers = SharedData::<PeerEncodingsByHost>::try_of(state);
    match (version, askers, client_addr(state)) {
        (None, Some(askers), Some(asker)) => askers.encoding_for(asker.ip()),
        (version, ..) => WireEncoding::for_peer(version),
    }
}

fn note_asker(state: &State, body: &[u8]) {
    let askers = SharedData::<PeerEncodingsByHost>::try_of(state);
    let (Some(askers), Some(asker)) = (askers, client_addr(state)) else {
        return;
    };
    if let Some(by_text) = has_text_ids(body) {
        askers.set_text_ids(asker.ip(), by_text);
    }
}

/// read JSON
pub async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, BodyError> {
    Ok(serde_json::from_slice(&read_body(state).await?)?)
}
