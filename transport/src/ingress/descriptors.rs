use nix::sys::resource::{getrlimit, Resource};

/// Descriptors that stay free for files, listening sockets and links to other processes.
const RESERVED: u64 = 400;
/// A request takes its client's connection and one to a target.
const PER_REQUEST: u64 = 2;
/// Without a limit of the system.
const DEFAULT_MAX: usize = 100_000;

/// Returns how many connections of clients this process can serve with its descriptors.
pub fn max_connections() -> usize {
    let Ok((soft, _)) = getrlimit(Resource::RLIMIT_NOFILE) else {
        return DEFAULT_MAX;
    };
    let connections = soft.saturating_sub(RESERVED) / PER_REQUEST;
    (connections.max(1) as usize).min(DEFAULT_MAX)
}
