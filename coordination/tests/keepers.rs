//! Selection of the sidecars that aggregate state for the fleet.

use {
    chalkcart_coordination::membership::{AggregatedState, AggregatorSelector},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

fn engines() -> Vec<SocketAddr> {
    (1..=3)
        .map(|n| SocketAddr::from(([10, 0, 0, n], 80)))
        .collect()
}

/// Sidecars of a build that doesn't support the state are retried with a growing back-off.
#[test]
fn aggregators_without_support_are_retried_with_exponential_backoff() {
    let engines = engines();
    let mut selector = AggregatorSelector::new(AggregatedState::Crashes);
    let mut now = Instant::now();
    let mut calls = 0;
    let end = now + Duration::from_secs(60);
    while now < end {
        if let Some(aggregator) = selector.select(&engines, now) {
            calls += 1;
            selector.on_unsupported(aggregator, now);
        }
        now += Duration::from_millis(100);
    }
    // at 0, 3, 9, 21, 36 and 51 s
    assert_eq!(calls, 6 * engines.len());
    now += Duration::from_secs(15);
    let aggregator = selector.select(&engines, now).expect("an aggregator");
    selector.on_response(aggregator);
    assert_eq!(selector.select(&engines, now), Some(aggregator));
}
