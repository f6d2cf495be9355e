//! Serves the sidecar that decides which adapters the engine holds, from the demands of the
//! entries. Requests are sent to the engine directly.

mod handlers;
mod placement_task;
mod serve;
mod shared;
mod views;

pub use serve::serve;
