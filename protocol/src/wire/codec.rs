use {
    super::{text_ids::rewrite_with_text_ids, WireEncoding},
    bytes::{BufMut, Bytes, BytesMut},
    serde::{de::DeserializeOwned, Serialize},
    thiserror::Error,
    tokio_util::codec::LengthDelimitedCodec,
};

/// Maximum size of a message or frame.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum nesting of lists, maps and options in a message. The decoder is recursive, and its
/// default of 1,024 overflows the 2 MiB stack of a thread in unoptimised builds.
const MAX_DEPTH: usize = 64;

/// A message that cannot be encoded or decoded.
#[derive(Debug, Error)]
pub enum CodecError {
    #[error("message not encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("message not decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("message not rewritten: {0}")]
    Rewrite(String),
}

/// Encodes a message with field names.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    encode_as(message, WireEncoding::Named)
}

/// Encodes a message for a peer. Messages always have field names, since the peer's version is
/// unknown until it responds.
pub fn encode_as<T: Serialize>(message: &T, encoding: WireEncoding) -> Result<Bytes, CodecError> {
    let named = rmp_serde::to_vec_named(message)?;
    match encoding {
        WireEncoding::Positional | WireEncoding::Named => Ok(Bytes::from(named)),
        WireEncoding::NamedTextIds => rewrite_with_text_ids(&named).map(Bytes::from),
    }
}

/// Decodes a message or a frame in any encoding.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    let mut reader = rmp_serde::Deserializer::from_read_ref(buf);
    reader.set_max_depth(MAX_DEPTH);
    Ok(T::deserialize(&mut reader)?)
}

/// Encodes a response for a caller, whose wire version its request has told.
pub fn encode_response<T: Serialize>(
    message: &T,
    encoding: WireEncoding,
) -> Result<Bytes, CodecError> {
    match encoding {
        WireEncoding::Positional => Ok(Bytes::from(rmp_serde::to_vec(message)?)),
        WireEncoding::Named | WireEncoding::NamedTextIds => encode_as(message, encoding),
    }
}

/// Encodes a frame of a stream with a length prefix.
pub fn encode_frame<T: Serialize>(frame: &T, encoding: WireEncoding) -> Result<Bytes, CodecError> {
    let body = encode_response(frame, encoding)?;
    let mut buf = BytesMut::with_capacity(body.len() + size_of::<u32>());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Returns the codec that splits a byte stream into frames.
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec()
}
