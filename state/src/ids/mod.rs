//! identifiers

mod aliases;
mod reserved_id;

pub use {
    aliases::*,
    reserved_id::{ReservedId, ReservedIdError},
};
