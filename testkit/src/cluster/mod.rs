//! A fleet of real processes on loopback, with stand-ins for what surrounds it.

mod addresses;
mod binaries;
mod cpu_quota;
mod fleet;
mod node;
mod process;
mod settings;

pub use {
    addresses::next_addr,
    binaries::{Binaries, OTHER_BUILD},
    cpu_quota::CpuQuota,
    fleet::{Cluster, EngineNode, ServiceNode},
    node::Node,
    process::{memory, open_descriptors, peak_memory, Process},
    settings::{ClusterSettings, ServiceSettings},
};
