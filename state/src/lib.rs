//! plain data shared by every layer: ids, the configuration, the fleet.
//!
//! Nothing here does I/O, reads a clock or takes a decision.

pub mod accounts;
pub mod backends;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod ingress;
pub mod published;
pub mod regions;
