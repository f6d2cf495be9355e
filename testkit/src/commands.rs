//! Runs programs and captures their output, for tests of the command line.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::{self, Command, Output},
    sync::atomic::{AtomicU32, Ordering},
};

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// Exit code and output of a program.
#[derive(Debug)]
pub struct ProgramOutput {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

/// Runs a program until it exits.
pub fn run_program(program: &Path, args: &[&str]) -> anyhow::Result<ProgramOutput> {
    let Output {
        status,
        stdout,
        stderr,
    } = Command::new(program).args(args).output()?;
    Ok(ProgramOutput {
        code: status.code(),
        stdout: String::from_utf8_lossy(&stdout).into_owned(),
        stderr: String::from_utf8_lossy(&stderr).into_owned(),
    })
}

/// Writes a settings file for a program.
pub fn settings_file(text: &str) -> anyhow::Result<PathBuf> {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let name = format!("chalkcart-settings-{}-{number}.json", process::id());
    let file = env::temp_dir().join(name);
    fs::write(&file, text)?;
    Ok(file)
}
