//! Default settings shared by both programs.

/// Returns the default log level.
pub fn log() -> String {
    "info".to_string()
}
/// Returns the default time limit of a graceful shutdown, in ms.
pub fn drain_ms() -> u64 {
    60_000
}
/// Returns the default number of runtime threads.
pub fn threads() -> usize {
    2
}
