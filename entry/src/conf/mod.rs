//! the settings of the entry

mod ingress_settings;
mod settings;

pub use {
    ingress_settings::IngressSettings,
    settings::{Routing, Settings},
};
