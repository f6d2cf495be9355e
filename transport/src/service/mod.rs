//! Clients of services that are not model engines.

mod http_service;
mod service_client;

pub use {
    http_service::HttpService,
    service_client::{PlainService, ServiceError},
};
