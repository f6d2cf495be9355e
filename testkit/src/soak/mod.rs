//! Soak tests: a fleet of real processes between stand-ins, clients on keep-alive connections,
//! and overlapping faults. The responses and runs are checked against the service's guarantees.

mod checks;
mod crashing_clients;
mod crowds;
mod fault_schedule;
mod keep_alive_client;
mod observations;
mod other_entries;
mod record;
mod recovery;
mod runner;
mod settings;
mod soak_run;
mod store_restores;

pub use {
    checks::{violations, Violation},
    fault_schedule::{schedule_faults, CutDirection, Fault, ScheduledFault},
    record::{
        BackendRecord, ConfigurationHistory, Outcome, PartRecord, RequestKind, RequestRecord,
        SoakRecord, TakenUp,
    },
    runner::{run_soak, SoakReport},
    settings::SoakSettings,
};
