//! Stand-in for the platform: configuration and fleet list.

mod calls;
mod platform_stand_in;
mod routes;

pub use {calls::PlatformCalls, platform_stand_in::PlatformStandIn};
