//! to which target a request goes

mod baselines;
mod least_expected_wait;
mod policy;
mod target;
mod target_table;

pub use {
    baselines::{LeastLoaded, PlainHash, RandomChoice},
    least_expected_wait::{LeastExpectedWait, WaitSettings},
    policy::{serves, Candidate, RouteRequest, RoutingPolicy, TargetRequirement},
    target::Target,
    target_table::{PolicyName, Route, TargetTable},
};
