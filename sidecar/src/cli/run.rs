use {
    crate::{app, conf::Settings},
    chalkcart_node::{
        cli::{usage_error, ExitCode, Program},
        settings,
    },
};

const PROGRAM: Program = Program {
    name: "chalkcart-sidecar",
    arguments: "[--check] FILE",
    purpose: "Serve one engine or plain service, with the settings in FILE (JSON).",
};

/// run the program with its arguments
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Program::options();
    options.optflag("", "check", "check FILE and exit");
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
    let file = match PROGRAM.file_argument(&matches.free) {
        Ok(file) => file,
        Err(e) => return usage_error(&PROGRAM, e),
    };
    let settings: Settings = match settings::load(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: settings: {e}", PROGRAM.name);
            return ExitCode::Usage;
        }
    };
    if matches.opt_present("check") {
        println!("{}: settings are good", file.display());
        return ExitCode::Done;
    }
    match app::serve(settings) {
        Ok(()) => ExitCode::Done,
        Err(e) => {
            eprintln!("{}: {e:#}", PROGRAM.name);
            ExitCode::Failed
        }
    }
}
