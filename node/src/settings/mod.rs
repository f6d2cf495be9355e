//! Settings files, validated before a process starts.

mod checks;
pub mod defaults;
mod errors;
mod load;
mod reload;

pub use {
    checks::{check_client_memory, check_log, check_not_empty, check_positive},
    errors::SettingsError,
    load::{
        file_or_environment, load_at_start, load_translated, parse, parse_translated, Checked,
        Translate, FILE_VARIABLE,
    },
    reload::SettingsReloader,
};
