//! what the platform's operators publish for the ingress: routes, services
//! and the bounds of what a client may send

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
