//! Requests, and parts of prompts, that crash the engines that run them: detection, shared
//! records and the decision to reject such a request.

mod crash_detector;
mod crash_record;
mod crash_registry;
mod crash_times;
mod fleet_crashes;
mod part_change;
mod part_evidence;
mod part_history;
mod part_registry;
mod part_run;
mod part_table;
mod recent_runs;
mod record_table;
mod request_block;
mod seen_events;
mod sound_parts;

pub use {
    crash_detector::{CrashDetector, EngineCrash, InterruptedRun},
    crash_registry::{CrashRegistry, RequestVerdict, BLOCKED_AFTER_CRASHES, MAX_TRACKED_REQUESTS},
    part_change::{PartChange, PartChangeKind},
    part_evidence::{BlockedPart, ExcusedPart, PartVerdict},
    part_run::PartRun,
    part_table::MAX_TRACKED_PARTS,
};
