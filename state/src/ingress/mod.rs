//! what the platform's operators publish for the ingress: routes, services
//! and the bounds of what a client may send

mod limits;
mod route;
mod route_table;
mod service;

pub use {
    limits::IngressLimits,
    route::{Route, RouteKind, WeightedService},
    route_table::RouteTable,
    service::{BaseModel, EngineSpec, Service},
};
