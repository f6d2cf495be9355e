//! Requests that crash the engines that run them: detection, shared records and the
//! decision to reject such a request.

mod crash_detector;
mod crash_registry;
mod seen_events;

pub use {
    crash_detector::{CrashDetector, EngineCrash, InterruptedRun},
    crash_registry::{CrashRegistry, RequestVerdict, BLOCKED_AFTER_CRASHES, MAX_TRACKED_REQUESTS},
};
