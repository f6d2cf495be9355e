//! Test and measurement tools: stand-ins for engines, plain services and the platform, a fleet
//! of real processes on loopback, fault injection, and an open-loop load generator.

pub mod cluster;
pub mod commands;
pub mod configs;
pub mod crash_sim;
pub mod crashing_parts;
pub mod engine;
pub mod forwarder;
pub mod ledger;
pub mod load;
pub mod platform;
pub mod service;
pub mod serving;
pub mod soak;
pub mod store;
pub mod users_platform;
pub mod waiting;
