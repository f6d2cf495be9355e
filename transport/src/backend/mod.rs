//! Requests to back ends, each on its own connection.

mod response;
mod sender;

pub use {
    response::{BackendBody, BackendResponse},
    sender::{is_refused, send, BackendSendError, Connection},
};
