//! The ingress configuration: routes, services and limits on client requests.

mod limits;
mod request_digest;
mod route;
mod route_table;
mod service;

pub use {
    limits::IngressLimits,
    request_digest::RequestDigest,
    route::{Route, RouteKind, WeightedService},
    route_table::RouteTable,
    service::{BaseModel, EngineSpec, Service},
};
