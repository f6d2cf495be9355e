//! What clients hold in a process: connections, and requests with their bodies. All of them
//! together are bound, whatever a crowd of them sends.

mod body;
mod holding;
mod holding_body;
mod holdings;
mod memory;

pub use {
    body::{read_whole, BodyFault},
    holding::{BusyGuard, Connection, HeldRequest},
    holding_body::HoldingBody,
    holdings::Holdings,
    memory::default_client_bytes,
};
