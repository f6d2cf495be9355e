//! which back end a request goes to, how long it waits, and when it is
//! refused: decided by the entry

mod account_turns;
mod adapter_versions;
mod ask;
mod backend_state;
mod bring_time;
mod choosing;
mod cold_engines;
mod copies;
mod decision;
mod demands;
mod dispatcher;
mod event;
mod fleet_size;
mod homes;
mod limited;
mod listing;
mod own_sight;
mod own_words;
mod promises;
mod reading_rate;
mod refusing;
mod settings;
mod shared_budget;
mod unheard;
mod urgency;
mod waiting;
mod wished;
mod wishes;

pub(crate) use backend_state::said_at;

pub use {
    account_turns::AccountTurns,
    adapter_versions::AdapterVersions,
    ask::{Ask, Ticket},
    backend_state::{BackendState, Sent},
    bring_time::BringTime,
    decision::{Assignment, Basis, Decision, RefusalCause},
    dispatcher::{BackendRow, Dispatcher},
    event::{DispatchEvent, SendOutcome},
    fleet_size::FleetSize,
    limited::{IntakeQuestion, NoDeal},
    own_sight::OwnSight,
    reading_rate::ReadingRate,
    settings::DispatchSettings,
    shared_budget::{BudgetBounds, BudgetStanding, SharedBudget},
    urgency::urgency,
    wished::{WishCause, Wished},
    wishes::DemandsDue,
};
