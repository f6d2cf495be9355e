use {
    crate::{app, conf::PlacementSettings, placement},
    anyhow::Result,
    chalkcart_node::{
        cli::{usage_error, ExitCode, Program},
        settings::{self, Checked, SettingsError, SettingsReloader, Translate},
        signals::block_sighup,
    },
    chalkcart_platform::{
        settings::{self as platform_settings, Program as PlatformProgram},
        PlatformEngine, PlatformStore,
    },
    chalkcart_transport::metadata::MetadataSource,
    serde::de::DeserializeOwned,
    serde_json::Value,
    std::{path::Path, sync::Arc},
};

const PROGRAM: Program = Program {
    name: "chalkcart-sidecar",
    arguments: "[--check] [--place] [FILE]",
    purpose: "Serve one engine or plain service, with the settings in FILE (JSON).",
};

/// Runs the program with its arguments.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Program::options();
    options.optflag("", "check", "check FILE and exit");
    options.optflag(
        "",
        "place",
        "only place the adapters of an engine, without serving requests",
    );
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&PROGRAM, e),
    };
    if matches.opt_present("help") {
        print!("{}", PROGRAM.help(&options));
        return ExitCode::Done;
    }
    if matches.opt_present("version") {
        println!("{} {}", PROGRAM.name, env!("CARGO_PKG_VERSION"));
        return ExitCode::Done;
    }
    let file = match settings::file_or_environment(&matches.free) {
        Ok(file) => file,
        Err(e) => return usage_error(&PROGRAM, e),
    };
    let only_check = matches.opt_present("check");
    if let Err(e) = block_sighup() {
        eprintln!("{}: {e:#}", PROGRAM.name);
        return ExitCode::Failed;
    }
    match matches.opt_present("place") {
        true => run_with(&file, only_check, translate, place),
        false => run_with(&file, only_check, Ok, |settings, file| {
            app::serve(settings, SettingsReloader::new(file))
        }),
    }
}

/// Places the adapters of the engine on this box.
fn place(settings: PlacementSettings, file: &Path) -> Result<()> {
    let reloader = SettingsReloader::with_translation(file, translate);
    let engine = PlatformEngine::new(settings.engine, &settings.name);
    let store = settings.store.map(PlatformStore::new);
    let store = store.map(|store| Arc::new(store) as Arc<dyn MetadataSource>);
    placement::serve(settings, reloader, Arc::new(engine), store)
}

fn translate(document: Value) -> Result<Value, SettingsError> {
    platform_settings::translate(PlatformProgram::Sidecar, document)
}

fn run_with<T: DeserializeOwned + Checked>(
    file: &Path,
    only_check: bool,
    translate: Translate,
    serve: fn(T, &Path) -> Result<()>,
) -> ExitCode {
    let settings: Result<T, _> = match only_check {
        true => settings::load_translated(file, translate),
        false => settings::load_at_start(file, translate),
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: settings: {e}", PROGRAM.name);
            return ExitCode::Usage;
        }
    };
    if only_check {
        println!("{}: settings are good", file.display());
        return ExitCode::Done;
    }
    match serve(settings, file) {
        Ok(()) => ExitCode::Done,
        Err(e) => {
            eprintln!("{}: {e:#}", PROGRAM.name);
            ExitCode::Failed
        }
    }
}
