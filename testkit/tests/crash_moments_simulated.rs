//! Parts of prompts that crash engines, by the moment of the crash and the number of causes, simulated:
//! four entries with registries of their own.

use {
    chalkcart_testkit::crash_sim::{FirstParts, SimMoment, SimOutcome, SimSettings, Simulation},
    std::time::Duration,
};

/// Requests with a part that may reach engines from 3 s after the fifth crash on.
const MAX_LATE: usize = 3;
const SEEDS: u64 = 8;

fn moment(delay_ms: std::ops::RangeInclusive<u64>) -> SimMoment {
    SimMoment {
        delay_ms,
        ..SimMoment::default()
    }
}

/// Asserts for each seed that the causes are told, and that no sound request is blocked.
fn assert_kept(settings: &SimSettings) {
    for seed in 0..SEEDS {
        let outcome = Simulation::new(settings.clone(), seed).run();
        let SimOutcome {
            sound_blocked,
            crashes,
            ..
        } = outcome;
        let late = outcome.worst_late();
        let case = format!("seed {seed}: {late} late, {sound_blocked} sound blocked, {crashes} crashes, {settings:?}");
        assert!(late <= MAX_LATE && sound_blocked == 0, "{case}");
        assert!(crashes >= 4, "{case}");
    }
}

/// Guards against a cause that is told only if it crashes engines soon after the first byte.
#[test]
fn a_part_is_told_at_whichever_moment_it_crashes_engines() {
    let silent = SimMoment {
        delay_ms: 0..=20,
        silent: 1.0,
        ..SimMoment::default()
    };
    let half = SimMoment {
        silent: 0.5,
        ..SimMoment::default()
    };
    let moments = [
        silent,
        half,
        moment(0..=0),
        moment(100..=100),
        moment(400..=400),
        moment(700..=700),
        moment(1_200..=1_200),
        moment(3_000..=3_000),
        moment(20..=1_500),
    ];
    for moment in moments {
        assert_kept(&SimSettings {
            moment,
            ..SimSettings::default()
        });
    }
}

/// Guards against a first part that is blocked since it stands under the crashes of all causes.
#[test]
fn what_stands_beside_several_causes_is_not_blocked() {
    for causes in [2, 3] {
        for first_parts in [FirstParts::One, FirstParts::OfAccounts] {
            assert_kept(&SimSettings {
                causes,
                first_parts,
                ..SimSettings::default()
            });
        }
    }
}

/// Guards against a part that some of its runs clear though it crashes the engines of most.
#[test]
fn a_part_that_crashes_three_engines_of_four_is_told() {
    assert_kept(&SimSettings {
        moment: SimMoment {
            spared: 0.25,
            ..SimMoment::default()
        },
        ..SimSettings::default()
    });
}

/// Guards against sound parts that are blocked where engines crash by themselves.
#[test]
fn parts_beside_crashes_of_other_causes_are_not_blocked() {
    let half = Some(Duration::from_secs(10));
    for (causes, other_crashes, half_crashes_every) in [
        (0, 1.7, None),
        (0, 0.5, half),
        (1, 0.5, None),
        (1, 0.5, half),
    ] {
        assert_kept(&SimSettings {
            causes,
            other_crashes,
            half_crashes_every,
            ..SimSettings::default()
        });
    }
}

/// Guards against entries that know of crashes alone, and not of the runs that did well.
#[test]
fn entries_that_start_again_know_what_did_well() {
    assert_kept(&SimSettings {
        entry_starts_every: Some(Duration::from_secs(3)),
        causes: 2,
        ..SimSettings::default()
    });
}

/// Guards against crashes under several entries' requests that count once as they come at one moment.
#[test]
fn requests_of_all_entries_at_one_moment_tell_the_part() {
    assert_kept(&SimSettings {
        is_at_one_moment: true,
        crashing_rate: 4.0,
        engines: 24,
        ..SimSettings::default()
    });
}
