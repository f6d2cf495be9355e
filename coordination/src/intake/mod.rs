//! how many requests a back end gets, of what it says that it takes

mod engine_limit;
mod equal_share;
mod held_permits;
mod named_limit;
mod permit_dealer;

pub use {
    engine_limit::EngineLimit,
    equal_share::{EqualShare, ShareBasis},
    held_permits::HeldPermits,
    named_limit::{LimitNews, NamedLimit, Sharers},
    permit_dealer::PermitDealer,
};

/// A back end that takes next to nothing gets this many requests a second all the same, from
/// all entries together: only an answer can say that it takes more.
const LEAST_PER_S: f64 = 0.25;
