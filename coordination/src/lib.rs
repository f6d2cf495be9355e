//! The decision logic of chalkcart.
//!
//! This crate does no I/O and reads no clock: it takes events and the current time, and returns
//! actions, so that every decision can be tested without a socket.

pub mod backend_admission;
pub mod backend_performance;
pub mod backend_signals;
pub mod config;
pub mod crashes;
pub mod dispatch;
pub mod drain;
pub mod features;
pub mod fence;
pub mod limits;
pub mod membership;
pub mod overload;
pub mod permits;
pub mod placement;
pub mod published;
pub mod queue;
pub mod recovery;
pub mod relay;
pub mod response_end;
pub mod retry;
pub mod retry_budget;
pub mod routing;
pub mod run_once;
pub mod sidecar;
pub mod slots;

pub mod software_versions;
pub mod stream;
pub mod stream_pacing;
pub mod stream_recovery;
pub mod watch;
