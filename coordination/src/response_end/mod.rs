//! How a back end's response ends: where in it, and what its framing says of the end.

mod event_scanner;
mod framing;
mod response_progress;

pub use {
    event_scanner::{EventScanner, StreamPosition},
    framing::Framing,
    response_progress::ResponseProgress,
};
