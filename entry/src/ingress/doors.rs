//! The listening sockets of an entry.

use {
    chalkcart_coordination::overload::{Door, CONNECTION_BYTES},
    chalkcart_transport::ingress::max_connections,
};

/// Connections to a page for operators or the platform; each asks from few places.
const PAGE_PLACES: usize = 32;

/// For the platform's readiness check.
pub const READINESS: Door = Door {
    name: "readiness",
    places: PAGE_PLACES,
};

/// For operators' tools.
pub const METRICS: Door = Door {
    name: "metrics",
    places: PAGE_PLACES,
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
