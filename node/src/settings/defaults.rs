//! defaults that both programs share

/// level of the log
pub fn log() -> String {
    "info".to_string()
}
/// longest time that a planned stop waits, in ms
pub fn drain_ms() -> u64 {
    60_000
}
/// threads for traffic
pub fn threads() -> usize {
    2
}
