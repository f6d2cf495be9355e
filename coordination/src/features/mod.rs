//! Switches that turn features of routing and placement on and off.

mod switches;

pub use switches::FeatureSwitches;
