//! what keeps requests from a back end for a while, and how many it gets of those that it takes

mod asked_rest;
mod cold_bound;
mod engine_limit;
mod equal_share;
mod full_pause;
mod health;
mod held_permits;
mod intake_reason;
mod named_limit;
mod permit_dealer;

pub use {
    asked_rest::AskedRest,
    cold_bound::{ColdBound, ColdPace},
    engine_limit::EngineLimit,
    equal_share::{EqualShare, ShareBasis},
    full_pause::FullPause,
    health::Health,
    held_permits::HeldPermits,
    intake_reason::IntakeReason,
    named_limit::{LimitNews, NamedLimit, Sharers},
    permit_dealer::PermitDealer,
};

/// A back end that takes next to nothing gets this many requests a second all the same, from
/// all entries together: only an answer can say that it takes more.
const LEAST_PER_S: f64 = 0.25;
