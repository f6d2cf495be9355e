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
mod choice;
mod copies;
mod decision;
mod demands;
mod dispatch_request;
mod dispatcher;
mod engine_observations;
mod engines_without_sidecar;
mod event;
mod expected_return;
mod expected_returns;
mod fleet_size;
mod holders;
mod homes;
mod in_flight_request;
mod limited_backends;
mod list_source;
mod load_delay;
mod pacing;
mod pending_load;
mod pending_loads;
mod performance;
mod permit_query;
mod prefill_rate;
mod rejection;
mod reported_incarnation;
mod request_progress;
mod requested_load;
mod route_order;
mod route_rank;
mod selection;
mod service_performance;
mod settings;
mod sharing;
mod slow_start;
mod turn_wait;
mod urgency;
mod waiting_list;

pub(crate) use backend_state::reported_at;

pub use crate::retry_budget::{BudgetUsage, RetryBudgetSettings, SharedRetryBudget};

pub use {
    account_fair_queueing::AccountFairQueueing,
    adapter_versions::AdapterVersions,
    admission_order::AdmissionOrder,
    backend_state::BackendState,
    decision::{Assignment, Decision, DecisionInputs, RejectionCause},
    dispatch_request::{DispatchRequest, Ticket},
    dispatcher::{BackendSummary, Dispatcher},
    engine_observations::EngineObservations,
    event::{DispatchEvent, SendOutcome},
    fleet_size::{EntryCount, FleetSize},
    in_flight_request::InFlightRequest,
    load_delay::LoadDelay,
    pending_load::DueDemands,
    permit_query::{PermitError, PermitQuery},
    prefill_rate::PrefillRate,
    request_progress::unread_until,
    requested_load::{LoadCause, LoadInputs, RequestedLoad},
    route_rank::RouteRank,
    service_performance::MeasuredEngines,
    settings::DispatchSettings,
    turn_wait::TurnWait,
    urgency::{urgency, urgency_by_route},
};
