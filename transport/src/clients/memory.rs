use std::fs;

/// Part of a machine's memory that clients may hold: the rest is for the process, for copies on
/// their way to back ends, and for gaps between allocations.
const CLIENT_SHARE: u64 = 4;
/// Without a figure of the machine's memory, in MiB.
const ASSUMED_MIB: u64 = 256;
/// Least bytes for clients, whatever the memory.
const MIN_BYTES: u64 = 256 * 1024;
/// File with the limit of this process's group, in bytes or `max`.
const GROUP_LIMIT: &str = "/sys/fs/cgroup/memory.max";
const MIB: u64 = 1024 * 1024;

/// Returns the bytes that clients may hold on a machine with this memory, in MiB. Without it, the
/// system is asked.
pub fn default_client_bytes(memory_mib: Option<f64>) -> usize {
    let memory = match memory_mib {
        Some(mib) => (mib * MIB as f64) as u64,
        None => [total_memory(), group_memory()]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(ASSUMED_MIB * MIB),
    };
    let bytes = (memory / CLIENT_SHARE).max(MIN_BYTES);
    usize::try_from(bytes).unwrap_or(usize::MAX / 2)
}

/// Returns the memory of the machine in bytes, as the system tells it.
fn total_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    kib.checked_mul(1024)
}

/// Returns the memory that the system gives to this process's group, if that is limited.
fn group_memory() -> Option<u64> {
    fs::read_to_string(GROUP_LIMIT).ok()?.trim().parse().ok()
}
