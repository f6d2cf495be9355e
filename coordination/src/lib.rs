//! every decision of chalkcart.
//!
//! Nothing here does I/O or reads a clock: an event and the time go in,
//! actions come out. So each decision is tested without a socket.

pub mod config;
pub mod crashes;
pub mod dispatch;
pub mod drain;
pub mod fence;
pub mod following;
pub mod intake;
pub mod limits;
pub mod mechanisms;
pub mod membership;
pub mod own_word;
pub mod permits;
pub mod placement;
pub mod queue;
pub mod relay;
pub mod retry;
pub mod routing;
pub mod run_once;
pub mod sidecar;
pub mod slots;
pub mod stream;
