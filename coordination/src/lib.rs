//! every decision of chalkcart.
//!
//! Nothing here does I/O or reads a clock: an event and the time go in,
//! actions come out. So each decision is tested without a socket.

pub mod backend_admission;
pub mod backend_signals;
pub mod config;
pub mod crashes;
pub mod dispatch;
pub mod drain;
pub mod features;
pub mod fence;
pub mod limits;
pub mod membership;
pub mod once;
pub mod permits;
pub mod placement;
pub mod queue;
pub mod relay;
pub mod retry;
pub mod routing;
pub mod sidecar;
pub mod slots;
pub mod stream;
pub mod watch;
