//! Soak tests: a fleet of real processes between stand-ins, clients on keep-alive connections,
//! and overlapping faults. The responses and runs are checked against the service's guarantees.

mod backend_faults;
mod checks;
mod crashing_clients;
mod crowds;
mod engine_lives;
mod fault_schedule;
mod head_cuts;
mod keep_alive_client;
mod new_streams;
mod observations;
mod other_entries;
mod record;
mod recovery;
mod release;
mod release_schedule;
mod report;
mod runner;
mod settings;
mod soak_run;
mod store_restores;
mod stream_checks;
mod stream_counts;

pub use {
    checks::{violations, Violation},
    engine_lives::ServingHistory,
    fault_schedule::{schedule_faults, CutDirection, Fault, ScheduledFault},
    head_cuts::HeadCut,
    record::{
        BackendRecord, ConfigurationHistory, Outcome, PartRecord, RequestKind, RequestRecord,
        SoakRecord, TakenUp,
    },
    release_schedule::PowerCut,
    report::SoakReport,
    runner::run_soak,
    settings::SoakSettings,
    stream_counts::StreamCounts,
};
