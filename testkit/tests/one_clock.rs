//! All that is believed is dated and judged by one clock, which counts the time for which a
//! machine was suspended. The steady clock of the standard library does not: a file that
//! reads it would believe for too long what it knew before.

use {
    anyhow::{Context, Result},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// packages whose decisions have a time
const PACKAGES: [&str; 6] = [
    "coordination",
    "transport",
    "platform",
    "node",
    "entry",
    "sidecar",
];
/// what reads the steady clock
const STEADY: [&str; 3] = ["Instant::now()", ".elapsed()", "timeout_at("];
/// the clock itself, and the bound on lines of the log, which concerns nobody's beliefs
const ALLOWED: [&str; 2] = ["transport/src/clock", "node/src/logging"];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        match path.is_dir() {
            true => sources(&path, found)?,
            false => found.push(path),
        }
    }
    Ok(())
}

#[test]
fn no_decision_is_dated_by_the_steady_clock() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = root.parent().context("the workspace's folder")?;
    let mut found = Vec::new();
    for package in PACKAGES {
        sources(&root.join(package).join("src"), &mut found)?;
    }
    assert!(found.len() > 100, "the sources are there");
    for path in found {
        let name = path.strip_prefix(root)?.display().to_string();
        if ALLOWED.iter().any(|allowed| name.starts_with(allowed)) {
            continue;
        }
        let text = fs::read_to_string(&path)?;
        for (number, line) in text.lines().enumerate() {
            let is_steady = STEADY.iter().any(|read| line.contains(read));
            let is_timer = line.contains("Deadline::now()") || line.contains("Timer::now()");
            assert!(!is_steady || is_timer, "{name}:{}: {line}", number + 1);
        }
    }
    Ok(())
}
