use {super::SettingsError, serde::de::DeserializeOwned, std::path::Path};

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
