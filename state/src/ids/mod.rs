//! Identifiers.

mod aliases;
mod reserved_id;
mod weights_digest;

pub use {
    aliases::*,
    reserved_id::{ReservedId, ReservedIdError},
    weights_digest::{WeightsDigest, WeightsDigestError},
};
