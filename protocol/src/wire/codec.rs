use {
    super::{text_ids::rewrite_with_text_ids, WireEncoding},
    bytes::{BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
    thiserror::Error,
    tokio_util::codec::LengthDelimitedCodec,
};

/// largest message or frame between two processes
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// How deep a message may be, in lists, maps and options within each other. Ours are up to a
/// dozen deep. The library allows 1,024, for which the stack of a thread (2 MiB) is too small
/// in builds without optimisations: one call of a peer ended the process.
const MAX_DEPTH: usize = 64;

/// a message that can't be written or read
#[derive(Debug, Error)]
pub enum CodecError {
    #[error("message not encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("message not decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("message not rewritten: {0}")]
    Rewrite(String),
}

/// write a message, with the names of its fields
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    encode_as(message, WireEncoding::Named)
}

/// write a message for a peer; messages have names whatever the peer is, since the other
/// end is known only by its answer
pub fn encode_as<T: Serialize>(message: &T, form: WireEncoding) -> Result<Bytes, CodecError> {
    let named = rmp_serde::to_vec_named(message)?;
    match form {
        WireEncoding::Positional | WireEncoding::Named => Ok(Bytes::from(named)),
        WireEncoding::NamedTextIds => rewrite_with_text_ids(&named).map(Bytes::from),
    }
}

/// read a message or a frame, in any form
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    let mut reader = rmp_serde::Deserializer::from_read_ref(buf);
    reader.set_max_depth(MAX_DEPTH);
    Ok(T::deserialize(&mut reader)?)
}

/// write a frame of a stream, its length first
pub fn encode_frame<T: Serialize>(frame: &T, form: WireEncoding) -> Result<Bytes, CodecError> {
    let body = match form {
        WireEncoding::Positional => Bytes::from(rmp_serde::to_vec(frame)?),
        WireEncoding::Named | WireEncoding::NamedTextIds => encode_as(frame, form)?,
    };
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
