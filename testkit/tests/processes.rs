//! what tests do to processes is done when the call returns

use {
    anyhow::Result,
    chalkcart_testkit::cluster::Process,
    std::{env, path::Path},
};

/// often enough that a signal which is not waited for is seen on a busy machine
const ROUNDS: usize = 60;

#[test]
fn a_frozen_process_runs_no_more() -> Result<()> {
    let log = env::temp_dir().join(format!("chalkcart-freeze-{}.log", std::process::id()));
    let mut process = Process::spawn(Path::new("/bin/sh"), &["-c", "while :; do :; done"], &log)?;
    for _ in 0..ROUNDS {
        process.pause()?;
        assert!(process.is_stopped()?);
        process.resume()?;
    }
    process.kill()
}
