//! Orders that get no answer, arrive late or come from an earlier sidecar.
//!
//! Guards against: an engine that falls with its runs, as two orders for the same place were both
//! taken.

mod order_sim;

use order_sim::{run, Outcome, SimSettings};

const SEEDS: u64 = 10_000;

fn run_seeds(settings: &SimSettings) -> Outcome {
    let mut total = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = run(seed, settings);
        assert_eq!(outcome.excess, Vec::<String>::new(), "seed {seed}");
        total.loads += outcome.loads;
        total.late += outcome.late;
        total.refused_by_count += outcome.refused_by_count;
    }
    total
}

/// Guards against an order that takes a place for which an unanswered one may still arrive.
#[test]
fn no_order_exceeds_the_engine_whenever_the_earlier_ones_arrive() {
    let total = run_seeds(&SimSettings::default());
    println!("{total:?}");
    // the cases that the test is about occur
    assert!(total.loads > 2 * SEEDS as usize, "{total:?}");
    assert!(total.late > SEEDS as usize, "{total:?}");
    assert!(total.refused_by_count > SEEDS as usize / 10, "{total:?}");
}
