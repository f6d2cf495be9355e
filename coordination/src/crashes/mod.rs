//! requests that end the engines that run them: what proves it, who knows it, and which
//! requests are sent to none any more

mod crash_detector;
mod crash_registry;

pub use {
    crash_detector::{CrashDetector, EngineCrash, InterruptedRun},
    crash_registry::{CrashRegistry, RequestVerdict, BLOCKED_AFTER_CRASHES, MAX_TRACKED_REQUESTS},
};
