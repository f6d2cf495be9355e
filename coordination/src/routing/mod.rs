//! Choice of the target of a request.

mod baselines;
mod least_expected_wait;
mod policy;
mod target;
mod target_table;

pub use {
    baselines::{LeastLoaded, PlainHash, RandomChoice},
    least_expected_wait::{HomeSettings, LeastExpectedWait},
    policy::{can_serve, Candidate, RouteRequest, RoutingPolicy, TargetRequirement},
    target::Target,
    target_table::{PolicyName, Route, TargetTable},
};
