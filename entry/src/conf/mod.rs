//! settings

mod settings;

pub use settings::{Routing, Settings};
