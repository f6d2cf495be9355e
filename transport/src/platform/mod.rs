//! Read-only clients of the platform's configuration and its list of boxes.

mod errors;
mod http_platform;
mod sources;

pub use {
    errors::PlatformError,
    http_platform::HttpPlatform,
    sources::{BoxList, ConfigSource},
};
