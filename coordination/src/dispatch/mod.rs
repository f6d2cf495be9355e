//! Decides in the entry which back end a request is sent to, how long it waits, and when it
//! is rejected.

mod account_fair_queueing;
mod adapter_affinity;
mod adapter_versions;
mod admission_order;
mod affected_requests;
mod backend_cost;
mod backend_signal_tracker;
mod backend_state;
mod backend_updates;
mod copies;
mod decision;
mod demands;
mod dispatch_request;
mod dispatcher;
mod engine_observations;
mod engines_without_sidecar;
mod event;
mod expected_returns;
mod fleet_size;
mod homes;
mod in_flight_request;
mod limited_backends;
mod list_source;
mod load_delay;
mod pacing;
mod pending_loads;
mod performance;
mod prefill_rate;
mod rejection;
mod request_progress;
mod requested_load;
mod selection;
mod settings;
mod shared_retry_budget;
mod slow_start;
mod urgency;
mod waiting_list;

pub(crate) use backend_state::reported_at;

pub use {
    account_fair_queueing::AccountFairQueueing,
    adapter_versions::AdapterVersions,
    admission_order::{AdmissionOrder, RouteRank},
    backend_state::BackendState,
    decision::{Assignment, Decision, DecisionInputs, RejectionCause},
    dispatch_request::{DispatchRequest, Ticket},
    dispatcher::{BackendSummary, Dispatcher},
    engine_observations::EngineObservations,
    event::{DispatchEvent, SendOutcome},
    fleet_size::FleetSize,
    in_flight_request::InFlightRequest,
    limited_backends::{PermitError, PermitQuery},
    load_delay::LoadDelay,
    pacing::TurnWait,
    pending_loads::DueDemands,
    performance::MeasuredEngines,
    prefill_rate::PrefillRate,
    requested_load::{LoadCause, LoadInputs, RequestedLoad},
    settings::DispatchSettings,
    shared_retry_budget::{BudgetUsage, RetryBudgetSettings, SharedRetryBudget},
    urgency::{urgency, urgency_by_route},
};
