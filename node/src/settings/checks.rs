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

/// Least memory of a box, in MiB, and least bytes for its clients: below, not even one request of
/// usual size would be served.
const MIN_MEMORY_MIB: f64 = 16.0;
const MIN_CLIENT_BYTES: usize = 256 * 1024;

/// Rejects bounds of what clients hold that are too low for any service.
pub fn check_client_memory(
    memory_mb: Option<f64>,
    client_bytes: Option<usize>,
) -> Result<(), SettingsError> {
    if let Some(mib) = memory_mb.filter(|mib| !(mib.is_finite() && *mib >= MIN_MEMORY_MIB)) {
        return Err(SettingsError::value("memory_mb", mib, "16 or more"));
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
