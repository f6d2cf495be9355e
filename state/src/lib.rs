//! Data types shared by all crates: identifiers, the configuration and the fleet.
//!
//! This crate does no I/O, reads no clock and makes no decisions.

pub mod accounts;
pub mod backends;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod ingress;
pub mod published;
pub mod regions;
pub mod spans;
