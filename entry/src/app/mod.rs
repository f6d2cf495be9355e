//! the running entry

mod serve;
mod shared;

pub use {serve::serve, shared::Shared};
