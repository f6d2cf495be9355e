//! Streams of responses to entries, kept for resumes and repeats.

mod frames;
mod stream_hub;

pub use {
    frames::frames,
    stream_hub::{SharedStream, StreamHub},
};
