//! Retry budgets across restarts of an entry.
//!
//! Guards against a restarted entry that gets a full retry budget for its own requests, although
//! the retries before the restart still count in the window.

use {
    chalkcart_coordination::dispatch::{RetryBudgetSettings, SharedRetryBudget},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::{Duration, Instant},
};

const BOUNDS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    extra: 54.0,
    window: Duration::from_secs(10),
};
const STEP: Duration = Duration::from_millis(100);
const STEPS_IN_WINDOW: usize = 100;
const SEED: u64 = 40;

/// Workload of one entry that uses its full retry budget.
#[derive(Debug, Clone)]
struct Day {
    /// Requests in each step.
    requests: Vec<u8>,
    /// Steps at which the process is killed and restarted.
    kills: Vec<u16>,
    /// No retries before this step, so that the budget is full then.
    quiet_until: u16,
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        const STEPS: u16 = 420;
        let most = u8::arbitrary(g) % 40;
        let busy = u8::arbitrary(g) % 3;
        let requests = (0..STEPS).map(|_| match busy {
            0 => most,
            _ => u8::arbitrary(g) % (most + 1),
        });
        let requests = requests.collect();
        let count = u8::arbitrary(g) % 6;
        let kills = (0..count).map(|_| u16::arbitrary(g) % STEPS).collect();
        Self {
            requests,
            kills,
            quiet_until: u16::arbitrary(g) % STEPS,
        }
    }
    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let day = self.clone();
        Box::new(self.kills.shrink().map(move |kills| Self {
            kills,
            ..day.clone()
        }))
    }
}

/// Returns the retries in each step.
fn retries_per_step(day: &Day) -> Vec<u32> {
    let start = Instant::now();
    let mut budget = SharedRetryBudget::new(BOUNDS, None);
    let steps = day.requests.iter().enumerate();
    let retries = steps.map(|(step, requests)| {
        let now = start + STEP * step as u32;
        if day.kills.contains(&(step as u16)) {
            budget = SharedRetryBudget::new(BOUNDS, Some(now));
        }
        (0..*requests).for_each(|_| budget.on_request(now));
        let mut retries = 0;
        while step >= usize::from(day.quiet_until) && budget.try_reserve(1, now) {
            budget.on_retry_sent(now);
            retries += 1;
        }
        retries
    });
    retries.collect()
}

/// Returns the largest number of requests in the windows that end here, half a window earlier
/// and one window earlier.
fn requests_for(day: &Day, end: usize) -> u32 {
    let ends = [0, STEPS_IN_WINDOW / 2, STEPS_IN_WINDOW].map(|before| end.saturating_sub(before));
    let counted = ends.map(|end| {
        let window = &day.requests[end.saturating_sub(STEPS_IN_WINDOW)..end];
        window.iter().map(|n| u32::from(*n)).sum::<u32>()
    });
    counted.into_iter().max().unwrap_or(0)
}

fn is_within(day: Day) -> bool {
    let retries = retries_per_step(&day);
    (1..=retries.len()).all(|end| {
        let window = &retries[end.saturating_sub(STEPS_IN_WINDOW)..end];
        let allowed = BOUNDS.ratio * f64::from(requests_for(&day, end)) + BOUNDS.extra;
        f64::from(window.iter().sum::<u32>()) <= allowed
    })
}

#[test]
fn restarts_of_an_entry_grant_no_additional_retries() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(600)
        .quickcheck(is_within as fn(Day) -> bool);
}

/// A restart right after the budget was spent.
#[test]
fn a_restart_does_not_refill_a_spent_budget() {
    let day = Day {
        requests: vec![8; 300],
        kills: vec![143],
        quiet_until: 100,
    };
    assert!(is_within(day));
}
