use {
    crate::{conf::IngressSettings, ingress},
    anyhow::Result,
    chalkcart_node::{
        cli::{ExitCode, Program},
        settings::{self, SettingsError, SettingsReloader},
        signals::block_sighup,
    },
    chalkcart_platform::{
        settings::{self as platform_settings, Program as PlatformProgram},
        PlatformDialect, PlatformStore,
    },
    getopts::Matches,
    serde_json::Value,
    std::sync::Arc,
};

/// Runs the ingress, or only checks its settings.
pub fn run(program: &Program, matches: &Matches) -> Result<ExitCode> {
    block_sighup()?;
    let file = match settings::file_or_environment(&matches.free) {
        Ok(file) => file,
        Err(e) => return Ok(chalkcart_node::cli::usage_error(program, e)),
    };
    let only_check = matches.opt_present("check");
    let settings: Result<IngressSettings, _> = match only_check {
        true => settings::load_translated(&file, translate),
        false => settings::load_at_start(&file, translate),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: settings: {e}", program.name);
            return Ok(ExitCode::Usage);
        }
    };
    if only_check {
        println!("{}: settings are good", file.display());
        return Ok(ExitCode::Done);
    }
    let store = Arc::new(PlatformStore::new(settings.store));
    let reloader = SettingsReloader::with_translation(&file, translate);
    ingress::serve(settings, reloader, store, Arc::new(PlatformDialect))?;
    Ok(ExitCode::Done)
}

fn translate(document: Value) -> Result<Value, SettingsError> {
    platform_settings::translate(PlatformProgram::Ingress, document)
}
