//! logs

mod start;

pub use start::{check_level, start};
