//! Blocking of SIGHUP during the start of a process.

use {
    anyhow::{Context, Result},
    nix::sys::signal::{SigSet, Signal},
};

/// Blocks SIGHUP on this thread and those that it starts, until [`unblock_sighup`]. Without a
/// handler, one that arrives during the start would terminate the process.
///
/// # Errors
/// The system call failed.
pub fn block_sighup() -> Result<()> {
    sighup_set().thread_block().context("cannot block SIGHUP")
}

/// Unblocks SIGHUP on this thread and delivers a pending one.
///
/// # Errors
/// The system call failed.
pub fn unblock_sighup() -> Result<()> {
    sighup_set()
        .thread_unblock()
        .context("cannot unblock SIGHUP")
}

fn sighup_set() -> SigSet {
    let mut set = SigSet::empty();
    set.add(Signal::SIGHUP);
    set
}
