//! requests that end the engines that run them: what proves it, who knows it, and which
//! requests are sent to none any more

mod crash_book;
mod crash_evidence;

pub use {
    crash_book::{CrashBook, Standing, CONDEMNED_AFTER, MOST_DIGESTS},
    crash_evidence::{BrokenRun, Crash, CrashEvidence},
};
