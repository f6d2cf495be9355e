//! HTTP/1.1 server for clients: heads, connections and proxied responses.

mod dialect;
mod headers;
mod proxy_body;
mod server;

pub use {
    dialect::{BackendRequestHead, BackendResponseHead, Dialect, HeadError, RequestHead},
    headers::remove_connection_headers,
    proxy_body::{ProxyBody, ProxyBodyEnd, ProxyBodyObserver},
    server::{serve, ClientBody, ClientRequest, ClientResponse, IngressService, Phase},
};
