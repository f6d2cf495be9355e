use {
    crate::conf::Settings,
    anyhow::{Context, Result},
    chalkcart_node::{
        cli::{usage_error, ExitCode, Program},
        settings::{self, Checked, SettingsError},
    },
    chalkcart_state::config::Root,
    getopts::Matches,
    serde::Deserialize,
    std::fs,
};

/// A key that only root documents have.
const ROOT_KEY: &str = "generation";

/// A root document of the configuration, checked like settings.
#[derive(Deserialize)]
#[serde(transparent)]
struct CheckedRoot(Root);

impl Checked for CheckedRoot {
    fn check(&self) -> Result<(), SettingsError> {
        self.0.check().map_err(|e| SettingsError::Parse {
            key: "root".to_string(),
            problem: e.to_string(),
        })
    }
}

/// Checks a settings file or a root document and prints the result.
pub fn run(program: &Program, matches: &Matches) -> Result<ExitCode> {
    let file = match program.file_argument(&matches.free) {
        Ok(file) => file,
        Err(e) => return Ok(usage_error(program, e)),
    };
    let text = fs::read_to_string(&file).with_context(|| file.display().to_string())?;
    let value: serde_json::Value =
        serde_json::from_str(&text).with_context(|| file.display().to_string())?;
    let (document_type, result) = match value.get(ROOT_KEY) {
        Some(_) => (
            "root document",
            settings::parse::<CheckedRoot>(&text).map(|_| ()),
        ),
        None => ("settings", settings::parse::<Settings>(&text).map(|_| ())),
    };
    match result {
        Ok(()) => {
            println!("{}: {document_type}: good", file.display());
            Ok(ExitCode::Done)
        }
        Err(e) => {
            println!("{}: {document_type}: {e}", file.display());
            Ok(ExitCode::Failed)
        }
    }
}
