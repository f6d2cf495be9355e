//! How a back end's response ends: whole, or broken off.
//!
//! Each response is judged here, whatever its route or size. Whether a stream that was broken off
//! may be resumed is decided by `stream_recovery`.

mod end_cause;
mod ended_response;
mod event_scanner;
mod framing;
mod response_progress;
mod verdict;

pub use {
    end_cause::EndCause,
    ended_response::ResponseEnd,
    event_scanner::{EventScanner, StreamPosition},
    framing::Framing,
    response_progress::ResponseProgress,
    verdict::Verdict,
};
