//! Protocols of chalkcart: the gRPC services for callers and operators, and the messages
//! between entries and sidecars.
//!
//! `gen/` holds the code that `examples/generate.rs` generates from `proto/`; a test checks that
//! it is current.

pub mod peer;
pub mod status;
pub mod wire;

/// Code generated from the schema.
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
pub mod v1 {
    include!("gen/chalkcart.v1.rs");
}

pub use wire::{
    decode, encode, encode_frame, encode_response, frame_codec, CodecError, MAX_MESSAGE_BYTES,
};
