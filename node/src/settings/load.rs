use {
    super::SettingsError,
    serde::{
        de::{DeserializeOwned, IgnoredAny},
        Deserializer,
    },
    serde_json::Value,
    std::{
        io::{self, Write},
        path::{Path, PathBuf},
        thread::sleep,
        time::Duration,
    },
};

/// Time for which a process that starts waits for a settings file that is missing or not whole;
/// whoever writes it needs less.
const WHOLE_WITHIN: Duration = Duration::from_secs(30);
/// Time between two reads of such a file.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Settings that can be validated.
pub trait Checked {
    /// Rejects values out of bounds.
    fn check(&self) -> Result<(), SettingsError>;
}

/// Converts a settings file in another format to chalkcart's.
pub type Translate = fn(Value) -> Result<Value, SettingsError>;

/// Reads and validates a settings file, which `translate` converts.
pub fn load_translated<T: DeserializeOwned + Checked>(
    file: &Path,
    translate: Translate,
) -> Result<T, SettingsError> {
    parse_translated(&read(file)?, translate)
}

/// Like [`load_translated`] for a process that starts, perhaps while its file is being written: a
/// file that is missing or not whole is read again for some time.
///
/// # Errors
/// Fails at once on a whole file with invalid settings.
pub fn load_at_start<T: DeserializeOwned + Checked>(
    file: &Path,
    translate: Translate,
) -> Result<T, SettingsError> {
    let mut waited = Duration::ZERO;
    loop {
        let e = match load_translated(file, translate) {
            Ok(settings) => return Ok(settings),
            Err(e) => e,
        };
        if !e.may_be_half_written() || waited >= WHOLE_WITHIN {
            return Err(e);
        }
        if waited.is_zero() {
            // the log starts with the settings; a closed standard error must not end the process
            let _ = writeln!(
                io::stderr(),
                "settings: {e}; read again for {WHOLE_WITHIN:?}"
            );
        }
        sleep(POLL_INTERVAL);
        waited += POLL_INTERVAL;
    }
}

fn read(file: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|source| SettingsError::Read {
        file: file.to_path_buf(),
        source,
    })
}

/// Parses and validates the text of a settings file.
pub fn parse<T: DeserializeOwned + Checked>(text: &str) -> Result<T, SettingsError> {
    serde_json::from_str::<IgnoredAny>(text).map_err(not_whole)?;
    deserialize(&mut serde_json::Deserializer::from_str(text))
}

/// Like [`parse`] for a text in another format.
pub fn parse_translated<T: DeserializeOwned + Checked>(
    text: &str,
    translate: Translate,
) -> Result<T, SettingsError> {
    let document: Value = serde_json::from_str(text).map_err(not_whole)?;
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

fn not_whole(e: serde_json::Error) -> SettingsError {
    SettingsError::NotWhole {
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
