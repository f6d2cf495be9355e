//! Process control of the testkit takes effect before its calls return.

use {
    anyhow::Result,
    chalkcart_testkit::cluster::Process,
    std::{env, path::Path},
};

/// Enough rounds to detect a pause that returns before the process has stopped.
const ROUNDS: usize = 60;

#[test]
fn a_paused_process_is_stopped() -> Result<()> {
    let log = env::temp_dir().join(format!("chalkcart-freeze-{}.log", std::process::id()));
    let mut process = Process::spawn(Path::new("/bin/sh"), &["-c", "while :; do :; done"], &log)?;
    for _ in 0..ROUNDS {
        process.pause()?;
        assert!(process.is_stopped()?);
        process.resume()?;
    }
    process.kill()
}
