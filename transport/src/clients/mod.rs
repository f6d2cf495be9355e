//! What clients hold in a process: connections, and requests with their bodies. All of them
//! together are bound, whatever a crowd of them sends.

mod body;
mod held_response;
mod holding;
mod holdings;
mod memory;

pub use {
    body::{read_whole, BodyFault},
    held_response::HeldResponse,
    holding::{BusyGuard, Connection, HeldRequest},
    holdings::Holdings,
    memory::default_client_bytes,
};
