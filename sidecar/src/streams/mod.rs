//! answers on their way to the entries

mod follow;
mod stream_hub;

pub use {
    follow::follow,
    stream_hub::{SharedStream, StreamHub},
};
