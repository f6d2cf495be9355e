use {
    super::{check, explain, ingress, remote},
    crate::{app, conf::Settings},
    anyhow::Result,
    chalkcart_node::{
        cli::{usage_error, ExitCode, Program},
        settings::{self, SettingsReloader},
        signals::block_sighup,
    },
    getopts::{Matches, Options},
};

const MAIN: Program = Program {
    name: "chalkcart",
    arguments: "COMMAND [OPTIONS]",
    purpose: "Serve very many LoRA adapters on few engines.",
};

/// A command of the program.
struct Command {
    name: &'static str,
    program: Program,
    add_options: fn(&mut Options),
    run: fn(&Program, &Matches) -> Result<ExitCode>,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "serve",
        program: Program {
            name: "chalkcart serve",
            arguments: "FILE",
            purpose: "Serve an entry box, with the settings in FILE (JSON).",
        },
        add_options: |_| {},
        run: serve,
    },
    Command {
        name: "ingress",
        program: Program {
            name: "chalkcart ingress",
            arguments: "[FILE]",
            purpose: "Serve clients on the platform, with the settings in FILE (JSON).",
        },
        add_options: |options| {
            options.optflag("", "check", "check FILE and exit");
        },
        run: ingress::run,
    },
    Command {
        name: "explain",
        program: Program {
            name: "chalkcart explain",
            arguments: "ID | --day [FILE...]",
            purpose: "Explain a request, or count a day's streams by route and cause, from the \
                      logs in FILEs or standard input.",
        },
        add_options: |options| {
            options.optflag("", "day", "count streams by route and cause");
        },
        run: explain::run,
    },
    Command {
        name: "check",
        program: Program {
            name: "chalkcart check",
            arguments: "FILE",
            purpose: "Check FILE: settings of `serve`, or a root document of the configuration.",
        },
        add_options: |_| {},
        run: check::run,
    },
    Command {
        name: "status",
        program: Program {
            name: "chalkcart status",
            arguments: "ADDR",
            purpose: "Print the state of the fleet as the entry at ADDR knows it.",
        },
        add_options: |_| {},
        run: remote::status,
    },
    Command {
        name: "plan",
        program: Program {
            name: "chalkcart plan",
            arguments: "ADDR ADAPTER VERSION",
            purpose: "Print where a request for an adapter would go.",
        },
        add_options: |_| {},
        run: remote::plan,
    },
    Command {
        name: "wait",
        program: Program {
            name: "chalkcart wait",
            arguments: "ADDR GENERATION",
            purpose: "Wait until a generation is in force on every box.",
        },
        add_options: remote::wait_options,
        run: remote::wait,
    },
    Command {
        name: "call",
        program: Program {
            name: "chalkcart call",
            arguments: "ADDR GROUP CLASS SERVICE BODY",
            purpose: "Call a plain service once and print its response.",
        },
        add_options: remote::call_options,
        run: remote::call,
    },
    Command {
        name: "generate",
        program: Program {
            name: "chalkcart generate",
            arguments: "ADDR GROUP CLASS ADAPTER VERSION PROMPT",
            purpose: "Run a prompt on an adapter and print its tokens.",
        },
        add_options: remote::generate_options,
        run: remote::generate,
    },
];

/// Runs the program with its arguments and returns its exit code.
pub fn run(args: &[String]) -> ExitCode {
    let Some(name) = args.first() else {
        return usage_error(&MAIN, "expected a command");
    };
    match name.as_str() {
        "-h" | "--help" => {
            print!("{}", main_help());
            return ExitCode::Done;
        }
        "-V" | "--version" => {
            print_version();
            return ExitCode::Done;
        }
        _ => {}
    }
    match COMMANDS.iter().find(|c| c.name == name) {
        Some(command) => run_command(command, &args[1..]),
        None => usage_error(&MAIN, format!("{name:?} is not a command")),
    }
}

fn run_command(command: &Command, args: &[String]) -> ExitCode {
    let mut options = Program::options();
    (command.add_options)(&mut options);
    let matches = match options.parse(args) {
        Ok(matches) => matches,
        Err(e) => return usage_error(&command.program, e),
    };
    if matches.opt_present("help") {
        print!("{}", command.program.help(&options));
        return ExitCode::Done;
    }
    if matches.opt_present("version") {
        print_version();
        return ExitCode::Done;
    }
    match (command.run)(&command.program, &matches) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{}: {e:#}", command.program.name);
            ExitCode::Failed
        }
    }
}

fn serve(program: &Program, matches: &Matches) -> Result<ExitCode> {
    block_sighup()?;
    let file = match program.file_argument(&matches.free) {
        Ok(file) => file,
        Err(e) => return Ok(usage_error(program, e)),
    };
    let settings: Settings = match settings::load_at_start(&file, Ok) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: settings: {e}", program.name);
            return Ok(ExitCode::Usage);
        }
    };
    app::serve(settings, SettingsReloader::new(&file))?;
    Ok(ExitCode::Done)
}

fn main_help() -> String {
    let mut text = MAIN.help(&Program::options());
    text.push_str("\nCommands:\n");
    for command in COMMANDS {
        text.push_str(&format!(
            "    {:<10}{}\n",
            command.name, command.program.purpose
        ));
    }
    text
}

fn print_version() {
    println!("{} {}", MAIN.name, env!("CARGO_PKG_VERSION"));
}
