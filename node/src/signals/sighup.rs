//! SIGHUP until somebody follows it

use {
    anyhow::{Context, Result},
    nix::sys::signal::{SigSet, Signal},
};

/// Keep SIGHUP until `unblock_sighup`: one that comes while the process still begins
/// would end it, since it asks for settings to be read again only where that is followed.
/// Threads that are started meanwhile keep it too.
///
/// # Errors
/// the system refused it
pub fn block_sighup() -> Result<()> {
    hangups().thread_block().context("hold SIGHUP")
}

/// let SIGHUP through on this thread, also one that came meanwhile
///
/// # Errors
/// the system refused it
pub fn unblock_sighup() -> Result<()> {
    hangups().thread_unblock().context("release SIGHUP")
}

fn hangups() -> SigSet {
    let mut set = SigSet::empty();
    set.add(Signal::SIGHUP);
    set
}
