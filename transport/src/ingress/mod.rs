//! HTTP/1.1 server for clients: heads, connections and proxied responses.

mod accept;
mod client_socket;
mod counted_body;
mod descriptors;
mod dialect;
mod frame_pauses;
mod headers;
mod last_byte;
mod proxy_body;
mod server;
mod stream_continuation;

pub use {
    accept::{AcceptPacing, ConnectionControl, RequestPlace},
    descriptors::max_connections,
    dialect::{BackendRequestHead, BackendResponseHead, Dialect, HeadError, RequestHead},
    headers::remove_connection_headers,
    proxy_body::ProxyBody,
    server::{serve, ClientBody, ClientRequest, ClientResponse, IngressService, Phase},
    stream_continuation::{
        Continuation, ProxyBodyEnd, ProxyBodyObserver, ProxyBodyReport, ResumeFuture, StreamCut,
        StreamEvents,
    },
};
