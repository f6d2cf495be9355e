//! answers on their way to the entries

mod frames;
mod stream_hub;

pub use {
    frames::frames,
    stream_hub::{SharedStream, StreamHub},
};
