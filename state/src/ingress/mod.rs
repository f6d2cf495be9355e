//! The ingress configuration: routes, services and limits on client requests.

mod limits;
mod part_id;
mod part_record;
mod request_digest;
mod route;
mod route_table;
mod service;

pub use {
    limits::IngressLimits,
    part_id::{part_list, PartId, SharedParts},
    part_record::PartRecord,
    request_digest::RequestDigest,
    route::{Route, RouteKind, WeightedService},
    route_table::RouteTable,
    service::{BaseModel, EngineSpec, Service},
};
