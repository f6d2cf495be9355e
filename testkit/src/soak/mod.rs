//! A soak: a fleet of processes among stand-ins, clients on kept connections, and faults in
//! series that overlap. What callers and back ends saw is checked against the promises.

mod checks;
mod fault_schedule;
mod keep_alive_client;
mod record;
mod runner;
mod settings;

pub use {
    checks::{violations, Violation},
    fault_schedule::{schedule_faults, Fault, ScheduledFault},
    record::{
        BackendRecord, ConfigurationHistory, Outcome, RequestKind, RequestRecord, SoakRecord,
    },
    runner::{run_soak, SoakReport},
    settings::SoakSettings,
};
