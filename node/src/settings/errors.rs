use {std::path::PathBuf, thiserror::Error};

/// Why a settings file is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: {source}", file.display())]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
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
    pub fn value(key: &'static str, value: impl ToString, expected: &'static str) -> Self {
        Self::Value {
            key,
            value: value.to_string(),
            expected,
        }
    }
}
