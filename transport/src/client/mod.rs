//! HTTP clients for services and for chalkcart's own processes.

mod errors;
mod http_client;
mod peer_client;
mod peer_encodings;
mod response_limits;

pub use {
    errors::{ClientError, ClientStep},
    http_client::{read_body, HttpClient, JsonReply},
    peer_client::{peer_version, FrameStream, MessageStream, PeerClient},
    peer_encodings::PeerEncodings,
    response_limits::ResponseLimits,
};
