//! how the platform's store is followed: how long calls last, and when the next one begins

mod watch_pacing;
mod watch_times;

pub use {watch_pacing::WatchPacing, watch_times::WatchTimes};
