//! settings files, checked before anything starts

mod checks;
pub mod defaults;
mod errors;
mod follow;
mod load;

pub use {
    checks::{check_filled, check_log, check_positive},
    errors::SettingsError,
    follow::SettingsFollower,
    load::{
        file_or_environment, load, load_translated, parse, parse_translated, Checked, Translate,
        FILE_VARIABLE,
    },
};
