use {std::path::PathBuf, thiserror::Error};

/// a settings file that can't be used
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: {source}", file.display())]
    Read {
        file: PathBuf,
        source: std::io::Error,
    },
    /// the key, the value and what was expected
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
