//! settings files, checked before anything starts

pub mod defaults;
mod errors;
mod load;

pub use {
    errors::SettingsError,
    load::{load, parse, Checked},
};
