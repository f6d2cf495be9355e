//! which mechanisms of decision are at work

mod switches;

pub use switches::FeatureSwitches;
