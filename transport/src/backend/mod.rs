//! Requests to back ends, each on its own connection.

mod sender;

pub use sender::{send, BackendResponse, BackendSendError, Connection};
