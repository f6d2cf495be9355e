use {super::SettingsError, crate::logging};

/// Rejects an empty text.
pub fn check_not_empty(
    key: &'static str,
    value: &str,
    expected: &'static str,
) -> Result<(), SettingsError> {
    match value.is_empty() {
        true => Err(SettingsError::value(key, "\"\"", expected)),
        false => Ok(()),
    }
}

/// Rejects zero.
pub fn check_positive(key: &'static str, value: u64) -> Result<(), SettingsError> {
    match value {
        0 => Err(SettingsError::value(key, 0, "1 or more")),
        _ => Ok(()),
    }
}

/// Rejects a text that is not a log level.
pub fn check_log(level: &str) -> Result<(), SettingsError> {
    let checked = logging::check_level(level);
    checked.map_err(|_| SettingsError::value("log", level, "a log level"))
}
