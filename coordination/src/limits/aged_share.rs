use std::time::Duration;

/// Time constant with which a share of a limit ages toward the equal part, in seconds: the
/// window in which limits are counted on the pages.
const AGING_TIME_S: f64 = 8.0;

/// Returns a fraction of a limit that was last known `elapsed` ago.
///
/// The difference from the equal part decays exponentially. The decay is linear in the
/// share, so the shares of any groups of entries have a constant sum however the groups
/// split and merge, and a sum that has become wrong returns to one.
pub(super) fn aged_share(share: f64, equal: f64, elapsed: Duration) -> f64 {
    equal + (share - equal) * (-elapsed.as_secs_f64() / AGING_TIME_S).exp()
}
