//! decides which adapters the engine holds, from what the entries need; no
//! request passes through

mod handlers;
mod placement_task;
mod serve;
mod shared;
mod views;

pub use serve::serve;
