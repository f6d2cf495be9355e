//! HTTP servers built on gotham, with graceful shutdown.

mod held_door;
mod http_server;
mod listener;
pub mod pages;
mod peer_encodings_by_ip;
mod refusals;
mod replies;
mod requests;
mod shared_data;

pub use {
    held_door::HeldDoor,
    http_server::{serve, ServeError, Stop},
    listener::bind,
    peer_encodings_by_ip::PeerEncodingsByIp,
    refusals::body_refused,
    replies::{
        bytes_reply, encoded_frames_reply, encoded_message_reply, frames_reply, json_reply,
        message_reply, text_reply, Reply,
    },
    requests::{
        caller_encoding, caller_version, read_body, read_json, read_message, BodyError,
        MESSAGE_TIMEOUT,
    },
    shared_data::SharedData,
};
