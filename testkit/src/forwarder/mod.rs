//! TCP forwarder that injects network faults.

mod tcp_forwarder;

pub use tcp_forwarder::{LinkFault, TcpForwarder};
