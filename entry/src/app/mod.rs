//! Starts and stops the entry process, and holds its shared state.

mod serve;
mod shared;

pub use {serve::serve, shared::Shared};
