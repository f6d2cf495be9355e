//! Stand-in for a plain service.

mod service_stand_in;

pub use service_stand_in::ServiceStandIn;
