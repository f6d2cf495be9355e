//! what the platform gives: configuration and the list of boxes, read-only

mod errors;
mod http_platform;
mod sources;

pub use {
    errors::PlatformError,
    http_platform::HttpPlatform,
    sources::{BoxList, ConfigSource},
};
