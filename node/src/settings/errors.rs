use {std::path::PathBuf, thiserror::Error};

/// Why a settings file is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: {source}", file.display())]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
    /// The text is no document, as when its end is missing.
    #[error("not a whole document: {problem}")]
    NotWhole { problem: String },
    #[error("{key}: {problem}")]
    Parse { key: String, problem: String },
    #[error("{key}: {value} is not allowed, expected {expected}")]
    Value {
        key: &'static str,
        value: String,
        expected: &'static str,
    },
}

impl SettingsError {
    /// Returns whether the file may still be being written.
    pub fn may_be_half_written(&self) -> bool {
        matches!(self, Self::Read { .. } | Self::NotWhole { .. })
    }
    pub fn value(key: &'static str, value: impl ToString, expected: &'static str) -> Self {
        Self::Value {
            key,
            value: value.to_string(),
            expected,
        }
    }
}
