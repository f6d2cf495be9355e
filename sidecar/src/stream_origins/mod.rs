//! Keeps which software versions began streams, for entries that are asked to continue them.

mod handlers;
mod kept_origins;

pub use {handlers::stream_origins, kept_origins::KeptOrigins};
