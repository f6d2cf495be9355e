//! Limits of client accounts while entries are cut from aggregators, as on heavy days: a third
//! of the entries can't reach a part of the other boxes for 5 to 12 s, entries receive up to
//! eight times the requests of others, and one account sends 6 to 7.5 times its usual.

mod limit_cuts {
    pub mod sim;
}

use limit_cuts::sim::{Counts, Fleet, Pattern, ACCOUNTS, STEP, STEPS};

/// Seeds of each of the four patterns, 200 runs together.
const SEEDS: u64 = 50;
/// Seeds with which the rejections by equal shares are counted.
const EQUAL_SHARE_SEEDS: u64 = 12;
const ENTRIES: usize = 24;
/// The requirement for deployment C on its heavy day: at most 200 rejections of requests
/// within the limit, 788 with equal shares.
const MAX_REMAINING: f64 = 200.0 / 788.0;

/// Runs seeds of a pattern and returns their counts.
fn run(pattern: Pattern, seeds: u64, is_by_demand: bool) -> Counts {
    let mut counts = Counts::default();
    let mut largest = 0.0f64;
    for seed in 0..seeds {
        let fleet = Fleet::new(seed, ENTRIES, pattern, is_by_demand).run();
        for account in 0..ACCOUNTS.len() {
            let usage = fleet.max_window_usage(account);
            assert!(
                usage <= 1.0,
                "{pattern:?}, seed {seed}, account {account}: {usage} of the bound"
            );
            largest = largest.max(usage);
        }
        counts.add(&fleet.counts);
    }
    println!("{pattern:?}, {seeds} seeds, by demand {is_by_demand}: {largest:.3}, {counts:?}");
    counts
}

/// Guards against windows over their bound while the cut entries use shares by demand and
/// the aggregator of the others grants what they left.
#[test]
fn a_third_of_the_entries_cut_from_all_aggregators() {
    run(Pattern::ThirdFromAll, SEEDS, true);
}

#[test]
fn a_third_of_the_entries_cut_from_some_aggregators() {
    run(Pattern::ThirdFromSome, SEEDS, true);
}

#[test]
fn all_entries_cut_from_all_aggregators() {
    run(Pattern::AllFromAll, SEEDS, true);
}

#[test]
fn two_halves_of_the_entries_with_different_aggregators() {
    run(Pattern::Halves, SEEDS, true);
}

/// Guards against equal shares of entries that receive more of an account's requests than
/// others, debts of cut entries that are charged twice, and usage that is counted late.
#[test]
fn few_requests_within_the_limit_are_rejected_in_cuts() {
    let patterns = [
        Pattern::ThirdFromAll,
        Pattern::ThirdFromSome,
        Pattern::AllFromAll,
        Pattern::Halves,
    ];
    let (mut all_equal, mut all_by_demand) = (0, 0);
    for pattern in patterns {
        let equal = run(pattern, EQUAL_SHARE_SEEDS, false).rejected();
        let by_demand = run(pattern, EQUAL_SHARE_SEEDS, true).rejected();
        assert!(by_demand < equal, "{pattern:?}: {by_demand} of {equal}");
        all_equal += equal;
        all_by_demand += by_demand;
    }
    let remaining = all_by_demand as f64 / all_equal as f64;
    assert!(remaining <= MAX_REMAINING, "{all_by_demand} of {all_equal}");
}

#[test]
fn calm_entries_with_unequal_loads_reject_almost_nothing_within_the_limit() {
    let counts = run(Pattern::Calm, 10, true);
    assert!(counts.requests > 30_000, "{counts:?}");
    assert!(counts.rejected() <= counts.requests / 1_000, "{counts:?}");
}

/// Counts messages and state in a large fleet; the bound is the cost of a node for control
/// at 350 entries, 19 KB a second.
#[test]
fn large_fleets_exchange_few_bytes_for_each_entry() {
    let fleet = Fleet::new(1, 350, Pattern::ThirdFromSome, true).run();
    let seconds = (STEP * STEPS as u32).as_secs_f64();
    let per_entry = fleet.counts.bytes as f64 / 350.0 / seconds;
    let rows: usize = fleet.aggregators.values().map(|(a, _)| a.rows()).sum();
    println!(
        "{:?}, {per_entry:.0} B/s for each entry, {rows} rows",
        fleet.counts
    );
    for account in 0..ACCOUNTS.len() {
        let usage = fleet.max_window_usage(account);
        assert!(usage <= 1.0, "account {account}: {usage}");
    }
    assert!(per_entry <= 19_000.0, "{per_entry}");
    assert!(rows <= 2 * 350 * ACCOUNTS.len(), "{rows}");
}
