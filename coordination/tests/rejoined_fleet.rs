//! Streams that are taken up after all entries, all sidecars or both were killed, around releases.

mod rejoined_sim;

use {
    rejoined_sim::{Case, Counts, Fleet, Layout, Scenario, CASES, LAYOUTS},
    std::{collections::BTreeMap, sync::OnceLock},
};

/// `REJOINED_SEEDS` in the environment sets more.
const SEEDS: u64 = 200;
/// Part of the streams that must go on.
const MIN_PART: f64 = 0.9;

/// What all seeds came to.
#[derive(Default)]
struct Outcome {
    counts: BTreeMap<(Case, Layout), Counts>,
    /// Seeds with joined streams, and how many.
    joined: Vec<(u64, usize)>,
}

impl Outcome {
    /// Runs all seeds, for the first test that asks.
    fn get() -> &'static Self {
        static OUTCOME: OnceLock<Outcome> = OnceLock::new();
        OUTCOME.get_or_init(Self::of_all_seeds)
    }

    fn of_all_seeds() -> Self {
        let seeds = std::env::var("REJOINED_SEEDS");
        let seeds = seeds.ok().and_then(|seeds| seeds.parse().ok());
        let mut outcome = Self::default();
        for seed in 1..=seeds.unwrap_or(SEEDS) {
            let scenario = Scenario::new(seed);
            let key = (scenario.case, scenario.layout);
            let counts = Fleet::new(scenario).run();
            if counts.joined > 0 {
                outcome.joined.push((seed, counts.joined));
            }
            *outcome.counts.entry(key).or_default() += counts;
        }
        for ((case, layout), counts) in &outcome.counts {
            println!("{case:?}, {layout:?}: {counts:?}");
        }
        for case in CASES {
            println!("{case:?}: {:?}", outcome.of(case));
        }
        for layout in LAYOUTS {
            println!("{layout:?}: {:?}", outcome.sum(|(_, l)| *l == layout));
        }
        outcome
    }

    /// Returns the counts of a case.
    fn of(&self, case: Case) -> Counts {
        self.sum(|(c, _)| *c == case)
    }

    fn sum(&self, is_counted: impl Fn(&(Case, Layout)) -> bool) -> Counts {
        let mut sum = Counts::default();
        let counts = self.counts.iter().filter(|(key, _)| is_counted(key));
        counts.for_each(|(_, counts)| sum += *counts);
        sum
    }
}

/// Returns the part that some streams are of all; of none, it is all.
fn part(some: usize, all: usize) -> f64 {
    match all {
        0 => 1.0,
        all => some as f64 / all as f64,
    }
}

/// Guards against: entries that have just started, take the versions that they see for all that
/// served, and join streams with another one.
#[test]
fn no_stream_is_joined_from_two_versions_after_a_kill() {
    let joined = &Outcome::get().joined;
    let streams: usize = joined.iter().map(|(_, streams)| streams).sum();
    assert_eq!(streams, 0, "in {} seeds: {joined:?}", joined.len());
}

/// Returns what had too few streams that went on, with the part that did.
fn too_few<T>(parts: impl Iterator<Item = (T, usize, usize)>) -> Vec<(T, f64)> {
    let parts = parts.map(|(what, went_on, all)| (what, part(went_on, all)));
    parts.filter(|(_, part)| *part < MIN_PART).collect()
}

/// Guards against: streams that are refused although a process that runs knows their version, and
/// two of its engines serve.
#[test]
fn streams_whose_origin_is_known_go_on_after_a_kill() {
    let parts = CASES.into_iter().map(|case| {
        let counts = Outcome::get().of(case);
        (case, counts.told_went_on, counts.told)
    });
    assert_eq!(too_few(parts), []);
}

/// Guards against: streams whose version serves and whose origin nobody knows any more, though not
/// all processes were killed at one moment; and a rule of no joins that is kept by refusing them.
#[test]
fn streams_of_a_version_that_serves_go_on_after_a_kill() {
    let cases = CASES.into_iter().filter(|case| *case != Case::Both);
    let parts = cases.map(|case| {
        let counts = Outcome::get().of(case);
        assert!(counts.served > 100, "{case:?}: too few streams: {counts:?}");
        (case, counts.served_went_on, counts.served)
    });
    assert_eq!(too_few(parts), []);
}

/// Guards against: origins that leave with the engines of another version, and are told to nobody
/// that stays.
#[test]
fn streams_that_outlive_engines_of_another_version_go_on_after_a_kill() {
    let counts = Outcome::get().sum(|(_, layout)| *layout == Layout::Left);
    assert!(counts.outlived > 100, "too few streams: {counts:?}");
    let part = part(counts.outlived_went_on, counts.outlived);
    assert!(part >= MIN_PART, "{part:.3} of {counts:?}");
}

/// Guards against: one way of a release after which fewer streams go on.
#[test]
fn streams_go_on_after_a_kill_however_versions_came_and_left() {
    let parts = LAYOUTS.into_iter().map(|layout| {
        let counts = Outcome::get().sum(|(_, l)| *l == layout);
        assert!(
            counts.served > 100,
            "{layout:?}: too few streams: {counts:?}"
        );
        (layout, counts.served_went_on, counts.served)
    });
    assert_eq!(too_few(parts), []);
}
