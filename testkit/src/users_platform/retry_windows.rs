//! The rule BUDGET: within each window, arrivals beyond the first of each request, over all entries.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

/// How many repeats of a service's requests are allowed in each window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRule {
    /// Per request.
    pub ratio: f64,
    /// Additional ones.
    pub extra: f64,
    pub window: Duration,
}

/// A window that ends with a repeat.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryWindow {
    pub end: Instant,
    pub retries: usize,
    /// The most requests in this window, in the one before it or in the one half a window before.
    pub requests: usize,
    pub allowed: f64,
}

impl RetryWindow {
    pub fn ratio(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

impl RetryRule {
    /// Returns the windows from the arrivals of all back ends of a service, with the request's id,
    /// and from the times at which clients sent requests for it.
    pub fn windows(&self, arrivals: &[(Instant, String)], sent: &[Instant]) -> Vec<RetryWindow> {
        let retries = later_arrivals(arrivals);
        let mut sent = sent.to_vec();
        sent.sort();
        let windows = retries.iter().map(|end| {
            let requests = self.requests(&sent, *end);
            RetryWindow {
                end: *end,
                retries: self.count(&retries, Some(*end)),
                requests,
                allowed: self.ratio * requests as f64 + self.extra,
            }
        });
        windows.collect()
    }

    fn requests(&self, sent: &[Instant], end: Instant) -> usize {
        let ends = [
            Some(end),
            end.checked_sub(self.window / 2),
            end.checked_sub(self.window),
        ];
        let counts = ends.map(|end| self.count(sent, end));
        counts.into_iter().max().unwrap_or(0)
    }

    /// Counts the sorted times in the window that ends here.
    fn count(&self, times: &[Instant], end: Option<Instant>) -> usize {
        let up_to =
            |at: Option<Instant>| at.map_or(0, |at| times.partition_point(|time| *time <= at));
        let start = end.and_then(|end| end.checked_sub(self.window));
        up_to(end) - up_to(start)
    }
}

/// Returns the sorted times of the arrivals beyond the first of each request.
fn later_arrivals(arrivals: &[(Instant, String)]) -> Vec<Instant> {
    let mut arrivals: Vec<&(Instant, String)> = arrivals.iter().collect();
    arrivals.sort();
    let mut seen = HashSet::new();
    let later = arrivals.into_iter().filter(|(_, id)| !seen.insert(id));
    later.map(|(at, _)| *at).collect()
}
