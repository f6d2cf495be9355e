//! Settings of the sidecar.

mod placement_settings;
mod settings;

pub use {
    placement_settings::PlacementSettings,
    settings::{Settings, TargetSettings},
};
