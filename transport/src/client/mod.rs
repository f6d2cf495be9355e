//! HTTP clients

mod errors;
mod http_client;
mod peer_client;

pub use {
    errors::{ClientError, ClientStep},
    http_client::{HttpClient, JsonReply},
    peer_client::{FrameStream, MessageStream, PeerClient},
};
