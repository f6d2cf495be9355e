//! settings

mod settings;

pub use settings::{Settings, TargetSettings};
