//! what keeps requests from a back end for a while, and how many it gets of those that it takes

mod admission_gate;
mod advertised_limit;
mod engine_limit;
mod equal_share;
mod health;
mod permit_issuer;
mod permit_pool;
mod requested_backoff;
mod saturation_pause;
mod slow_start;

pub use {
    admission_gate::AdmissionGate,
    advertised_limit::{AdvertisedLimit, LimitSharing, LimitUpdate},
    engine_limit::EngineLimit,
    equal_share::{EqualShare, ShareBasis},
    health::Health,
    permit_issuer::PermitIssuer,
    permit_pool::PermitPool,
    requested_backoff::RequestedBackoff,
    saturation_pause::SaturationPause,
    slow_start::{SlowStart, SlowStartSettings},
};

/// A back end that takes next to nothing gets this many requests a second all the same, from
/// all entries together: only an answer can say that it takes more.
const LEAST_PER_S: f64 = 0.25;
