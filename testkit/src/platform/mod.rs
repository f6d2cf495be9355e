//! a stand-in for the platform: configuration and the list of boxes

mod calls;
mod platform_stand_in;
mod routes;

pub use {calls::PlatformCalls, platform_stand_in::PlatformStandIn};
