//! messages in `rmp-serde`, and frames of a stream behind a length

use {
    bytes::{BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
    thiserror::Error,
    tokio_util::codec::LengthDelimitedCodec,
};

/// largest message or frame between two processes
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// a message that can't be written or read
#[derive(Debug, Error)]
pub enum CodecError {
    #[error("message not encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("message not decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// write a message
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    Ok(Bytes::from(rmp_serde::to_vec_named(message)?))
}

/// read a message
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(buf)?)
}

/// write a frame of a stream, its length first. Frames go out many times a
/// second, so their fields have no names
pub fn encode_frame<T: Serialize>(frame: &T) -> Result<Bytes, CodecError> {
    let body = rmp_serde::to_vec(frame)?;
    let mut buf = BytesMut::with_capacity(body.len() + size_of::<u32>());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// splits a stream of bytes into frames
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
