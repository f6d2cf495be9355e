use {
    super::SettingsError,
    serde::{de::DeserializeOwned, Deserializer},
    serde_json::Value,
    std::path::{Path, PathBuf},
};

/// Settings that can be validated.
pub trait Checked {
    /// Rejects values out of bounds.
    fn check(&self) -> Result<(), SettingsError>;
}

/// Converts a settings file in another format to chalkcart's.
pub type Translate = fn(Value) -> Result<Value, SettingsError>;

/// Reads and validates a settings file.
pub fn load<T: DeserializeOwned + Checked>(file: &Path) -> Result<T, SettingsError> {
    parse(&read(file)?)
}

/// Like [`load`] for a file in another format.
pub fn load_translated<T: DeserializeOwned + Checked>(
    file: &Path,
    translate: Translate,
) -> Result<T, SettingsError> {
    parse_translated(&read(file)?, translate)
}

fn read(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|source| SettingsError::Read {
        file: file.to_path_buf(),
        source,
    })
}

/// Parses and validates the text of a settings file.
pub fn parse<T: DeserializeOwned + Checked>(text: &str) -> Result<T, SettingsError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let settings = deserialize(&mut json)?;
    json.end().map_err(parse_error)?;
    Ok(settings)
}

/// Like [`parse`] for a text in another format.
pub fn parse_translated<T: DeserializeOwned + Checked>(
    text: &str,
    translate: Translate,
) -> Result<T, SettingsError> {
    let document: Value = serde_json::from_str(text).map_err(parse_error)?;
    deserialize(translate(document)?)
}

fn deserialize<'d, T, D>(deserializer: D) -> Result<T, SettingsError>
where
    T: DeserializeOwned + Checked,
    D: Deserializer<'d>,
{
    let parsed: Result<T, _> = serde_path_to_error::deserialize(deserializer);
    let settings = parsed.map_err(|e| SettingsError::Parse {
        key: e.path().to_string(),
        problem: e.inner().to_string(),
    })?;
    settings.check()?;
    Ok(settings)
}

fn parse_error(e: serde_json::Error) -> SettingsError {
    SettingsError::Parse {
        key: ".".to_string(),
        problem: e.to_string(),
    }
}

/// Environment variable with the path of the settings file, used if no argument is given.
pub const FILE_VARIABLE: &str = "CHALKCART_CONFIG";

/// Returns the settings file named by the argument or else by the environment variable.
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
