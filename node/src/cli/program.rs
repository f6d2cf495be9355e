use {getopts::Options, std::path::PathBuf};

/// how a program ends
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
}

/// a command of a program, for its help
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// as typed, with the command
    pub name: &'static str,
    /// what follows the name
    pub arguments: &'static str,
    /// one line
    pub purpose: &'static str,
}

impl Program {
    /// the text of `--help`
    pub fn help(&self, options: &Options) -> String {
        let brief = format!(
            "{}\n\nUsage: {} {}",
            self.purpose, self.name, self.arguments
        );
        options.usage(&brief)
    }

    /// options that each command has
    pub fn options() -> Options {
        let mut options = Options::new();
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
        options
    }

    /// the one settings file that the command takes
    pub fn file_argument(&self, free: &[String]) -> Result<PathBuf, String> {
        match free {
            [file] => Ok(PathBuf::from(file)),
            _ => Err(format!("expected one FILE, got {} arguments", free.len())),
        }
    }
}

/// print what is wrong with the arguments
pub fn usage_error(program: &Program, message: impl std::fmt::Display) -> ExitCode {
    eprintln!("{}: {message}", program.name);
    eprintln!("Try '{} --help'.", program.name);
    ExitCode::Usage
}
