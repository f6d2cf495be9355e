//! plain services beside the engines

mod http_service;
mod service_client;

pub use {
    http_service::HttpService,
    service_client::{PlainService, ServiceError},
};
