//! Requests to back ends, each on its own connection.

mod response;
mod sender;

pub use {
    response::{BackendBody, BackendResponse},
    sender::{connect, is_refused, send, send_on, BackendSendError, Connection},
};
