//! The listening sockets of an entry.

use {
    chalkcart_coordination::overload::{Door, CONNECTION_BYTES},
    chalkcart_transport::ingress::max_connections,
};

/// Returns the socket for clients, with places for as many connections as the descriptors and the
/// memory for clients allow.
pub fn clients(client_bytes: usize) -> Door {
    let by_memory = (client_bytes / CONNECTION_BYTES).max(1);
    Door {
        name: "clients",
        places: max_connections().min(by_memory),
    }
}
