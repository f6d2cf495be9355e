//! What a soak reads from its stand-ins, logs and faults for the checks.

use {
    super::{
        recovery::RECOVERY_ID, BackendRecord, ConfigurationHistory, Fault, PartRecord,
        ScheduledFault, SoakSettings,
    },
    crate::users_platform::BackendStandIn,
    std::time::Duration,
};

/// Time for a back end's signal to reach the entry.
const SIGNAL_PROPAGATION_DELAY: Duration = Duration::from_millis(500);

/// Prefix of the ids of requests that crash engines.
pub const CRASHING_ID: &str = "crashing-";
/// Prefixes of the ids of those that crash them by a part, and of the sound ones beside these.
pub const PART_ID: &str = "crashing-part-";
pub const SOUND_ID: &str = "crashing-sound-";

/// Crashes until a request is blocked, and until a part of prompts is.
const CRASHES_UNTIL_REQUEST_BLOCKED: u32 = 3;
const CRASHES_UNTIL_PART_BLOCKED: u32 = 5;

/// Returns how many crashes it takes to block all that crashes engines in a soak.
pub fn crashes_until_blocked(settings: &SoakSettings) -> u32 {
    match (settings.has_crashing_requests, settings.has_crashing_parts) {
        (true, true) => CRASHES_UNTIL_REQUEST_BLOCKED + CRASHES_UNTIL_PART_BLOCKED,
        (false, true) => CRASHES_UNTIL_PART_BLOCKED,
        (_, false) => CRASHES_UNTIL_REQUEST_BLOCKED,
    }
}

/// Counts the faults that may lose the crash registry: a start or pause of the only entry
/// loses its copy, and the sidecars may have lost theirs if any of them was affected.
pub fn crash_registry_losses(faults: &[ScheduledFault]) -> u32 {
    let is_entry = |f: &&ScheduledFault| {
        matches!(
            f.fault,
            Fault::KillIngress | Fault::TerminateIngress | Fault::PauseIngress | Fault::PowerCut(_)
        )
    };
    let is_sidecar = |f: &ScheduledFault| {
        matches!(
            f.fault,
            Fault::KillSidecar(_) | Fault::PauseSidecar(_) | Fault::PowerCut(_)
        )
    };
    match faults.iter().any(is_sidecar) {
        true => faults.iter().filter(is_entry).count() as u32,
        false => 0,
    }
}

/// Returns what reached the engines with the part that crashes them, and what crashed.
pub fn part_record(engines: &[BackendStandIn]) -> PartRecord {
    let mut record = PartRecord::default();
    for engine in engines {
        let state = engine.state();
        let caused = state.caused_crashes.iter();
        let caused = caused.filter(|crash| crash.request.starts_with(PART_ID));
        record.crashes.extend(caused.cloned());
        let arrived = state.arrivals.iter();
        let arrived = arrived.filter(|(_, id)| id.starts_with(PART_ID));
        record.arrivals.extend(arrived.cloned());
    }
    record.crashes.sort_by_key(|crash| crash.at);
    record.arrivals.sort();
    record
}

/// Returns what a back end did for clients.
pub fn backend_record(backend: &BackendStandIn, is_engine: bool) -> BackendRecord {
    let state = backend.state();
    let is_client_request = |id: &str| !id.starts_with(RECOVERY_ID) && !id.starts_with(CRASHING_ID);
    let runs = state.runs.iter().map(|run| run.request.clone());
    BackendRecord {
        name: state.id.clone(),
        is_engine,
        runs: runs.filter(|id| is_client_request(id)).collect(),
        arrivals: state.arrivals.clone(),
        orders: state.all_orders.clone(),
        max_adapters: state.orders.max_adapters,
        requests_while_leaving: state.requests_while_leaving,
        max_requests_in_backoff: state.max_requests_in_backoff(SIGNAL_PROPAGATION_DELAY),
        requests_over_limit: state.requests_over_limit,
    }
}

/// Extracts the configurations that entries put in force from their logs, by incarnation.
pub fn applied_configurations(logs: impl Iterator<Item = String>) -> ConfigurationHistory {
    let incarnations = logs.flat_map(|log| incarnations_of(&log));
    ConfigurationHistory {
        incarnations: incarnations.collect(),
    }
}

fn incarnations_of(log: &str) -> Vec<Vec<u64>> {
    let mut incarnations: Vec<Vec<u64>> = vec![Vec::new()];
    for line in log.lines() {
        if line.contains("serves on ") {
            incarnations.push(Vec::new());
        }
        let Some((_, suffix)) = line.split_once("configuration ") else {
            continue;
        };
        let number = suffix.split(' ').next().and_then(|n| n.parse().ok());
        let is_in_force = suffix.contains(" in force, ");
        if let (Some(number), true, Some(incarnation)) =
            (number, is_in_force, incarnations.last_mut())
        {
            incarnation.push(number);
        }
    }
    incarnations
}
