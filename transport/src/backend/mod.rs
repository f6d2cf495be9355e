//! requests to back ends, one connection each

mod sender;

pub use sender::{send, BackendResponse, BackendSendError, Connection};
