//! Gates that hold requests back from a back end, and the sharing of a back end's rate limit
//! among the entries.

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
    equal_share::{EqualShare, ShareMode},
    health::Health,
    permit_issuer::PermitIssuer,
    permit_pool::PermitPool,
    requested_backoff::RequestedBackoff,
    saturation_pause::SaturationPause,
    slow_start::{SlowStart, SlowStartSettings},
};

/// Lowest rate, in requests per second from all entries together, at which a limited back end
/// is still probed: only a response can report a higher limit.
const MIN_PROBE_RATE_PER_S: f64 = 0.25;
