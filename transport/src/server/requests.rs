use {
    super::{PeerEncodingsByIp, SharedData},
    crate::{
        client::peer_version,
        clients::{read_whole, BodyFault, HeldRequest},
        clock,
    },
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
    serde::de::DeserializeOwned,
    std::time::Duration,
    thiserror::Error,
};

/// One in so many undecodable messages of an address is logged.
const LOG_EVERY: u64 = 1_000;

/// Time for the body of a message; a process that sends one waits less.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// A request body that can't be received or decoded.
#[derive(Debug, Error)]
pub enum BodyError {
    #[error(transparent)]
    Receive(#[from] BodyFault),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error("body is not the JSON expected: {0}")]
    Json(#[from] serde_json::Error),
}

/// Reads the complete request body, up to the maximum message size.
pub async fn read_body(state: &mut State) -> Result<Bytes, BodyError> {
    let body = Body::take_from(state);
    let held = HeldRequest::try_borrow_from(state).cloned();
    let held = held.ok_or(BodyFault::NoRoom)?;
    let deadline = clock::now() + MESSAGE_TIMEOUT;
    Ok(read_whole(body, &held, MAX_MESSAGE_BYTES, deadline).await?)
}

/// Reads a message between chalkcart's processes.
pub async fn read_message<T: DeserializeOwned>(state: &mut State) -> Result<T, BodyError> {
    let body = read_body(state).await?;
    if caller_version(state).is_none() {
        record_encoding(state, &body);
    }
    let message = decode(&body);
    if let Err(e) = &message {
        log_undecodable(state, e);
    }
    Ok(message?)
}

/// Logs the first undecodable message of each address, and then one in `LOG_EVERY`.
fn log_undecodable(state: &State, e: &CodecError) {
    let Some(caller) = client_addr(state) else {
        return;
    };
    let encodings = SharedData::<PeerEncodingsByIp>::try_of(state);
    let undecodable = encodings.map_or(0, |known| known.count_undecodable(caller.ip()));
    if undecodable % LOG_EVERY != 1 {
        return;
    }
    let version = caller_version(state).map_or(0, |version| version.0);
    log::warn!(
        asker = caller.to_string().as_str(),
        its_version = version,
        own_version = WireVersion::CURRENT.0,
        unread = undecodable,
        cause = e.to_string().as_str();
        "peers: message not read"
    );
}

/// Returns the caller's wire version, or `None` for a build that reports none.
pub fn caller_version(state: &State) -> Option<WireVersion> {
    peer_version(HeaderMap::borrow_from(state))
}

/// Returns the encoding of frames that the caller reads.
pub fn caller_encoding(state: &State) -> WireEncoding {
    let version = caller_version(state);
    let encodings = SharedData::<PeerEncodingsByIp>::try_of(state);
    match (version, encodings, client_addr(state)) {
        (None, Some(encodings), Some(caller)) => encodings.encoding_for(caller.ip()),
        (version, ..) => WireEncoding::for_peer(version),
    }
}

/// Records how a caller without a wire version encodes ids.
fn record_encoding(state: &State, body: &[u8]) {
    let encodings = SharedData::<PeerEncodingsByIp>::try_of(state);
    let (Some(encodings), Some(caller)) = (encodings, client_addr(state)) else {
        return;
    };
    if let Some(has_text_ids) = has_text_ids(body) {
        encodings.set_text_ids(caller.ip(), has_text_ids);
    }
}

pub async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, BodyError> {
    Ok(serde_json::from_slice(&read_body(state).await?)?)
}
