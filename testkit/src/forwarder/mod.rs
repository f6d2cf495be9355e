//! connections that can be cut

mod tcp_forwarder;

pub use tcp_forwarder::{LinkFault, TcpForwarder};
