//! The rule BUDGET: within each window, arrivals beyond the first of each request, over all
//! entries.

use {
    chalkcart_coordination::dispatch::RetryBudgetSettings,
    std::{collections::HashMap, time::Duration},
};

/// Client request, unique over the fleet.
pub type RequestNumber = u64;

/// A window of the rule.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryWindow {
    /// Start time.
    pub from: Duration,
    pub retries: usize,
    /// The most requests in one of the windows that the rule names.
    pub requests: usize,
    pub allowed: f64,
}

impl RetryWindow {
    pub fn ratio(&self) -> f64 {
        match self.retries {
            // a run without any has no window
            0 => 0.0,
            retries => retries as f64 / self.allowed,
        }
    }
}

/// Times since the start of everything that the rule counts.
#[derive(Debug, Default)]
pub struct Record {
    /// When clients sent requests, in order.
    pub requests: Vec<Duration>,
    pub arrivals: HashMap<RequestNumber, Vec<Duration>>,
}

impl Record {
    /// Returns each window that ends with a retry.
    pub fn windows(&self, settings: &RetryBudgetSettings) -> Vec<RetryWindow> {
        let retries = self.retries();
        let window = settings.window;
        let windows = retries.iter().map(|end| {
            let counted = requests_of_window(&self.requests, *end, window);
            RetryWindow {
                from: end.saturating_sub(window),
                retries: count(&retries, *end, window),
                requests: counted,
                allowed: settings.ratio * counted as f64 + settings.extra,
            }
        });
        windows.collect()
    }

    /// Returns the arrivals beyond the first of each request, in order.
    fn retries(&self) -> Vec<Duration> {
        let later = self.arrivals.values().flat_map(|arrivals| {
            let mut arrivals = arrivals.clone();
            arrivals.sort();
            arrivals.into_iter().skip(1)
        });
        let mut retries: Vec<Duration> = later.collect();
        retries.sort();
        retries
    }
}

/// Returns the most requests in the window that ends here, in the one before it and in the one
/// half a window before.
fn requests_of_window(requests: &[Duration], end: Duration, window: Duration) -> usize {
    let ends = [
        Some(end),
        end.checked_sub(window / 2),
        end.checked_sub(window),
    ];
    let counts = ends.into_iter().flatten();
    counts
        .map(|end| count(requests, end, window))
        .max()
        .unwrap_or(0)
}

/// Counts the sorted times after `end - window`, up to `end`.
fn count(times: &[Duration], end: Duration, window: Duration) -> usize {
    let up_to = |at: Duration| times.partition_point(|t| *t <= at);
    let before = end.checked_sub(window).map_or(0, up_to);
    up_to(end) - before
}
