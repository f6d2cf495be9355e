//! Rendezvous order of members of different capacity, and the rates that it uses.

use {
    chalkcart_coordination::{
        backend_performance::{RelativeRate, SettledRate},
        membership::{rendezvous_weight, stable_hash, RendezvousScore},
    },
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
};

#[test]
fn equal_capacities_have_the_order_of_rendezvous_weights() {
    // guards against rounding that exchanges homes where all engines are equal
    let mut rng = StdRng::seed_from_u64(3);
    for capacity in [1.0, 0.4, 2.6] {
        for _ in 0..1_000 {
            // the largest weights are nearest to each other after the logarithm
            let high = u64::MAX - rng.random_range(0..1_000);
            let mut weights: Vec<u64> = (0..50).map(|_| rng.random_range(0..=u64::MAX)).collect();
            weights.extend([high, high - 1, u64::MAX, 0, 1]);
            let mut by_score = weights.clone();
            by_score.sort_by_key(|weight| RendezvousScore::new(*weight, capacity));
            weights.sort_by(|a, b| b.cmp(a));
            assert_eq!(by_score, weights);
        }
    }
}

#[test]
fn members_are_preferred_in_proportion_to_their_capacity() {
    // guards against scores that favour large members more than in proportion
    let capacities = [1.0, 2.0, 4.0, 8.0];
    let mut first = [0u32; 4];
    for key in 0..20_000u32 {
        let key = stable_hash(&key.to_string());
        let score = |member: &usize| {
            let weight = rendezvous_weight(key, stable_hash(&format!("m{member}")));
            RendezvousScore::new(weight, capacities[*member])
        };
        first[(0..4).min_by_key(score).unwrap()] += 1;
    }
    for (count, capacity) in first.iter().zip(capacities) {
        let expected = 20_000.0 * capacity / 15.0;
        let ratio = f64::from(*count) / expected;
        assert!((0.9..1.1).contains(&ratio), "{first:?}");
    }
}

#[test]
fn a_relative_rate_is_rounded_toward_equal_and_bounded() {
    // guards against homes that move for one step of the published figures, and against a
    // measurement of nearly zero that would make an engine the home of everything
    let rate = |own: u32, median: u32| RelativeRate::of_intervals(own, median).value();
    for own in [30_000, 31_500, 33_000] {
        assert_eq!(rate(own, 31_500), 1.0);
    }
    assert!((rate(53_550, 22_050) - 0.42).abs() < 0.01);
    assert!(rate(1, u32::MAX) < 17.0 && rate(u32::MAX, 1) > 1.0 / 17.0);
    assert!(rate(0, 0).is_finite());
}

#[test]
fn the_rate_for_homes_follows_lasting_changes_only() {
    // guards against homes that move with each short slow phase, and against homes that stay at an
    // engine that became slow for good
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let rate = |own| RelativeRate::of_intervals(own, 31_500);
    let mut settled = SettledRate::default();
    assert_eq!(settled.value(), 1.0);
    settled.update(rate(63_000), at(0));
    let first = settled.value();
    assert!(first < 0.6, "the first figure counts at once: {first}");
    for ms in [500, 2_000, 3_500] {
        settled.update(rate(150_000), at(ms));
        settled.update(rate(63_000), at(ms + 500));
        assert_eq!(settled.value(), first);
    }
    // a change of the side begins anew
    settled.update(rate(150_000), at(5_000));
    settled.update(rate(20_000), at(5_500));
    settled.update(rate(150_000), at(6_000));
    assert_eq!(settled.value(), first);
    settled.update(rate(200_000), at(6_500));
    settled.update(rate(180_000), at(7_000));
    assert_eq!(settled.value(), rate(180_000).value());
}
