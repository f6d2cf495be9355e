//! how the platform's store is followed: how long calls last, and when the next one begins

mod call_times;
mod follow_pacing;

pub use {call_times::CallTimes, follow_pacing::FollowPacing};
