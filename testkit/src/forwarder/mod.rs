//! TCP forwarders between processes, which inject faults and limit rates.

mod shared_link;
mod tcp_forwarder;

pub use {
    shared_link::SharedLink,
    tcp_forwarder::{LinkFault, TcpForwarder},
};
