//! Regions in which requests may be served.

mod allowed_regions;

pub use allowed_regions::AllowedRegions;
