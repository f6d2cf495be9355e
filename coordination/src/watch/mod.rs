//! Timing of the long polls that watch the platform's store.

mod watch_pacing;
mod watch_times;

pub use {watch_pacing::WatchPacing, watch_times::WatchTimes};
