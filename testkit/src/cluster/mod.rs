//! A fleet of real processes on loopback, with stand-ins for what surrounds it.

mod addresses;
mod binaries;
mod fleet;
mod node;
mod process;
mod settings;

pub use {
    addresses::next_addr,
    binaries::{Binaries, OTHER_BUILD},
    fleet::{Cluster, EngineNode, ServiceNode},
    node::Node,
    process::Process,
    settings::{ClusterSettings, ServiceSettings},
};
