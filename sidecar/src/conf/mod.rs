//! settings

mod settings;

pub use settings::{Permits, Settings, TargetSettings};
