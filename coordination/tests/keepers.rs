//! which sidecars keep a matter of the whole fleet

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

/// sidecars of a build without the matter are asked ever less often, and used once they know it
#[test]
fn keepers_that_do_not_know_the_matter_are_left_alone_for_longer_each_time() {
    let engines = engines();
    let mut choice = AggregatorSelector::new(AggregatedState::Crashes);
    let mut now = Instant::now();
    let mut asked = 0;
    let end = now + Duration::from_secs(60);
    while now < end {
        if let Some(keeper) = choice.select(&engines, now) {
            asked += 1;
            choice.on_unsupported(keeper, now);
        }
        now += Duration::from_millis(100);
    }
    // at 0, 3, 9, 21, 36 and 51 s
    assert_eq!(asked, 6 * engines.len());
    now += Duration::from_secs(15);
    let keeper = choice.select(&engines, now).expect("a keeper");
    choice.on_response(keeper);
    assert_eq!(choice.select(&engines, now), Some(keeper));
}
