//! Requests to back ends, each on its own connection.

mod sender;

pub use sender::{is_refused, send, BackendResponse, BackendSendError, Connection};
