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

/// Least bytes for clients: below, not even a few requests of usual size would be served.
const MIN_CLIENT_BYTES: usize = 256 * 1024;

/// Rejects bounds of what clients hold with which nobody would be served.
pub fn check_client_memory(
    memory_mb: Option<f64>,
    client_bytes: Option<usize>,
) -> Result<(), SettingsError> {
    if let Some(mib) = memory_mb.filter(|mib| !(mib.is_finite() && *mib > 0.0)) {
        return Err(SettingsError::value("memory_mb", mib, "more than 0"));
    }
    match client_bytes.filter(|bytes| *bytes < MIN_CLIENT_BYTES) {
        Some(bytes) => Err(SettingsError::value(
            "client_bytes",
            bytes,
            "262144 or more",
        )),
        None => Ok(()),
    }
}

/// Rejects a text that is not a log level.
pub fn check_log(level: &str) -> Result<(), SettingsError> {
    let checked = logging::check_level(level);
    checked.map_err(|_| SettingsError::value("log", level, "a log level"))
}
