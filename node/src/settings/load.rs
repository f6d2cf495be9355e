use {
    super::SettingsError,
    serde::de::DeserializeOwned,
    std::path::{Path, PathBuf},
};

/// settings that know their bounds
pub trait Checked {
    /// refuse values out of bounds
    fn check(&self) -> Result<(), SettingsError>;
}

/// read and check a settings file
pub fn load<T: DeserializeOwned + Checked>(file: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Read {
        file: file.to_path_buf(),
        source,
    })?;
    parse(&text)
}

/// parse and check the text of a settings file
pub fn parse<T: DeserializeOwned + Checked>(text: &str) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let parsed: Result<T, _> = serde_path_to_error::deserialize(&mut json);
    let settings = parsed.map_err(|e| SettingsError::Parse {
        key: e.path().to_string(),
        problem: e.inner().to_string(),
    })?;
    json.end().map_err(|e| SettingsError::Parse {
        key: ".".to_string(),
        problem: e.to_string(),
    })?;
    settings.check()?;
    Ok(settings)
}

/// the variable that names the settings file where none is given
pub const FILE_VARIABLE: &str = "CHALKCART_CONFIG";

/// the settings file of a command that takes one, or none and the variable
pub fn file_or_environment(free: &[String]) -> Result<PathBuf, String> {
    match free {
        [file] => Ok(PathBuf::from(file)),
        [] => {
            let file = std::env::var_os(FILE_VARIABLE);
            let file = file.ok_or_else(|| format!("expected FILE, or {FILE_VARIABLE} to be set"));
            file.map(PathBuf::from)
        }
        _ => Err(format!("expected one FILE, got {} arguments", free.len())),
    }
}
