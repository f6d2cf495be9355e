//! Encoding of messages between chalkcart's processes, compatible across builds; see
//! docs/design/upgrades.md.

mod codec;
mod encoding;
mod text_ids;
mod version;

pub use {
    codec::{
        decode, encode, encode_as, encode_frame, encode_response, frame_codec, CodecError,
        MAX_MESSAGE_BYTES,
    },
    encoding::WireEncoding,
    text_ids::has_text_ids,
    version::{WireVersion, PEER_VERSION},
};
