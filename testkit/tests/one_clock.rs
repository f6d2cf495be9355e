//! All decisions use the clock that includes the time during which a machine was suspended.
//! The standard library's monotonic clock doesn't, so state dated by it would expire too late.

use {
    anyhow::{Context, Result},
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Packages with time-dependent decisions.
const PACKAGES: [&str; 6] = [
    "coordination",
    "transport",
    "platform",
    "node",
    "entry",
    "sidecar",
];
/// Calls that read the standard library's monotonic clock.
const MONOTONIC_READS: [&str; 3] = ["Instant::now()", ".elapsed()", "timeout_at("];
/// The clock itself, and the rate limit of log lines.
const ALLOWED: [&str; 2] = ["transport/src/clock", "node/src/logging"];

fn find_sources(folder: &Path, found: &mut Vec<PathBuf>) -> Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        match path.is_dir() {
            true => find_sources(&path, found)?,
            false => found.push(path),
        }
    }
    Ok(())
}

#[test]
fn no_decision_reads_the_monotonic_clock() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let root = root.parent().context("the workspace's folder")?;
    let mut found = Vec::new();
    for package in PACKAGES {
        find_sources(&root.join(package).join("src"), &mut found)?;
    }
    assert!(found.len() > 100, "too few source files were found");
    for path in found {
        let name = path.strip_prefix(root)?.display().to_string();
        if ALLOWED.iter().any(|allowed| name.starts_with(allowed)) {
            continue;
        }
        let text = fs::read_to_string(&path)?;
        for (number, line) in text.lines().enumerate() {
            let is_monotonic_read = MONOTONIC_READS.iter().any(|read| line.contains(read));
            let is_timer = line.contains("Deadline::now()") || line.contains("Timer::now()");
            assert!(
                !is_monotonic_read || is_timer,
                "{name}:{}: {line}",
                number + 1
            );
        }
    }
    Ok(())
}
