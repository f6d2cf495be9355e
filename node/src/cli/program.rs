use {getopts::Options, std::path::PathBuf};

/// Exit status of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
}

/// A command of a program, as its help describes it.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name as typed, including the command.
    pub name: &'static str,
    /// Arguments after the name.
    pub arguments: &'static str,
    /// One-line summary.
    pub purpose: &'static str,
}

impl Program {
    /// Returns the text of `--help`.
    pub fn help(&self, options: &Options) -> String {
        let brief = format!(
            "{}\n\nUsage: {} {}",
            self.purpose, self.name, self.arguments
        );
        options.usage(&brief)
    }

    /// Returns the options that every command has.
    pub fn options() -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        options
    }

    /// Returns the settings file, the only argument of the command.
    pub fn file_argument(&self, free: &[String]) -> Result<PathBuf, String> {
        match free {
            [file] => Ok(PathBuf::from(file)),
            _ => Err(format!("expected one FILE, got {} arguments", free.len())),
        }
    }
}

/// Prints an error about the arguments.
pub fn usage_error(program: &Program, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{}: {message}", program.name);
    eprintln!("Try '{} --help'.", program.name);
    ExitCode::Usage
}
