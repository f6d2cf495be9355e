use {
    bytes::Bytes,
    chalkcart_protocol::{decode, CodecError, MAX_MESSAGE_BYTES},
    gotham::{
        helpers::http::Body,
        state::{FromState, State},
    },
    http_body_util::{BodyExt, Limited},
    serde::de::DeserializeOwned,
    thiserror::Error,
};

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
    Ok(decode(&read_body(state).await?)?)
}

/// read JSON
pub async fn read_json<T: DeserializeOwned>(state: &mut State) -> Result<T, BodyError> {
    Ok(serde_json::from_slice(&read_body(state).await?)?)
}
