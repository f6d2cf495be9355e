//! settings files, checked before anything starts

mod errors;
mod load;

pub use {
    errors::SettingsError,
    load::{load, parse, Checked},
};
