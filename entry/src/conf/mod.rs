//! The settings of the entry.

mod ingress_settings;
mod settings;

pub use {
    ingress_settings::IngressSettings,
    settings::{RoutingPolicy, Settings},
};
