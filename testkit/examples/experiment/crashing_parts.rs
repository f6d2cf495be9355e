//! Parts of prompts that crash engines: what is sent after they are known, and how many sound
//! requests are rejected, in simulated time.

use {
    super::fleet::Plan,
    chalkcart_testkit::crash_sim::{FirstParts, SimMoment, SimSettings, Simulation, StreamLengths},
    serde_json::{json, Value},
    std::{ops::RangeInclusive, thread, time::Duration},
};

/// A case to simulate.
struct Case {
    name: String,
    settings: SimSettings,
}

/// Runs the cases beside each other, large fleets with one seed.
pub fn run(plan: &Plan) -> Vec<Value> {
    let mut cases = moments();
    cases.extend(causes());
    cases.extend(streams());
    let with_seeds = |case: Case| (case, plan.seeds);
    let cases = cases.into_iter().map(with_seeds);
    let cases = cases.chain(sizes().into_iter().map(|case| (case, 1)));
    thread::scope(|scope| {
        let rows = cases.map(|(case, seeds)| {
            let span = Duration::from_secs(plan.span_s);
            scope.spawn(move || row_of(case, seeds, span))
        });
        let rows: Vec<_> = rows.collect();
        let rows = rows.into_iter().filter_map(|row| row.join().ok());
        rows.collect()
    })
}

fn row_of(Case { name, settings }: Case, seeds: u64, span: Duration) -> Value {
    let settings = SimSettings { span, ..settings };
    let (mut sound, mut blocked, mut crashes) = (0, 0, 0);
    let (mut worst_late, mut late_seeds) = (0, 0);
    for seed in 0..seeds {
        let outcome = Simulation::new(settings.clone(), seed).run();
        sound += outcome.sound;
        blocked += outcome.sound_blocked;
        crashes += outcome.crashes;
        worst_late = worst_late.max(outcome.worst_late());
        late_seeds += u32::from(outcome.worst_late() > 3);
    }
    json!({
        "case": name,
        "engines": settings.engines,
        "late, worst cause": worst_late,
        "seeds over three": late_seeds,
        "sound requests": sound,
        "blocked": blocked,
        "crashes a seed": crashes as f64 / seeds as f64,
    })
}

fn case(name: &str, settings: SimSettings) -> Case {
    let name = name.to_string();
    Case { name, settings }
}

fn base() -> SimSettings {
    SimSettings::default()
}

fn moment(delay_ms: RangeInclusive<u64>) -> SimMoment {
    SimMoment {
        delay_ms,
        ..SimMoment::default()
    }
}

fn silent() -> SimMoment {
    SimMoment {
        silent: 1.0,
        ..moment(0..=20)
    }
}

fn moments() -> Vec<Case> {
    let half = SimMoment {
        silent: 0.5,
        ..SimMoment::default()
    };
    let three_of_four = SimMoment {
        spared: 0.25,
        ..SimMoment::default()
    };
    let named = [
        ("before any byte", silent()),
        ("half before any byte", half),
        ("with the first byte", moment(0..=0)),
        ("66 to 119 ms", SimMoment::default()),
        ("400 ms", moment(400..=400)),
        ("700 ms", moment(700..=700)),
        ("1,200 ms", moment(1_200..=1_200)),
        ("3,000 ms", moment(3_000..=3_000)),
        ("20 to 1,500 ms", moment(20..=1_500)),
        ("three runs of four", three_of_four),
    ];
    let cases = named.map(|(name, moment)| case(name, SimSettings { moment, ..base() }));
    cases.into()
}

fn causes() -> Vec<Case> {
    let accounts = FirstParts::OfAccounts;
    let of = |causes, first_parts, moment, other_crashes| SimSettings {
        causes,
        first_parts,
        moment,
        other_crashes,
        ..base()
    };
    let soon = SimMoment::default;
    let half = |causes| SimSettings {
        half_crashes_every: Some(Duration::from_secs(10)),
        ..of(causes, FirstParts::One, soon(), 0.5)
    };
    vec![
        case("two causes", of(2, FirstParts::One, soon(), 0.0)),
        case("three causes", of(3, FirstParts::One, soon(), 0.0)),
        case(
            "three, before any byte",
            of(3, FirstParts::One, silent(), 0.0),
        ),
        case(
            "two, 700 ms",
            of(2, FirstParts::One, moment(700..=700), 0.0),
        ),
        case("two, 40 accounts", of(2, accounts, soon(), 0.0)),
        case("three, 40 accounts", of(3, accounts, soon(), 0.0)),
        case(
            "none, 1.7 others a second",
            of(0, FirstParts::One, soon(), 1.7),
        ),
        case("the same, 40 accounts", of(0, accounts, soon(), 1.7)),
        case("0.5 others a second", of(1, FirstParts::One, soon(), 0.5)),
        case("1 other a second", of(1, FirstParts::One, soon(), 1.0)),
        case("2 others a second", of(1, FirstParts::One, soon(), 2.0)),
        case(
            "1 other a second, 40 accounts",
            of(1, accounts, soon(), 1.0),
        ),
        case("two, 1 other, 40 accounts", of(2, accounts, soon(), 1.0)),
        case("none, 0.5 others, half at once", half(0)),
        case("one, 0.5 others, half at once", half(1)),
        case(
            "the first part is the cause",
            SimSettings {
                is_cause_first: true,
                ..base()
            },
        ),
        case(
            "two, an entry starts each 3 s",
            SimSettings {
                entry_starts_every: Some(Duration::from_secs(3)),
                ..of(2, FirstParts::One, soon(), 0.0)
            },
        ),
    ]
}

fn streams() -> Vec<Case> {
    let of = |mean_ms, deadline_s, moment| {
        let mean = Duration::from_millis(mean_ms);
        let lengths = StreamLengths {
            mean,
            long_mean: mean,
            deadline: Duration::from_secs(deadline_s),
        };
        SimSettings {
            lengths,
            moment,
            ..base()
        }
    };
    let rate = |crashing_rate| SimSettings {
        crashing_rate,
        ..base()
    };
    let at_one_moment = |engines, causes| SimSettings {
        is_at_one_moment: true,
        crashing_rate: 4.0,
        engines,
        causes,
        ..base()
    };
    vec![
        case("sound streams of 0.1 s", of(100, 30, SimMoment::default())),
        case(
            "sound streams of 20 s",
            of(20_000, 60, SimMoment::default()),
        ),
        case("the same, 1,200 ms", of(20_000, 60, moment(1_200..=1_200))),
        case("most end at a deadline of 3 s", of(20_000, 3, silent())),
        case("1 a second", rate(1.0)),
        case("20 a second", rate(20.0)),
        case("all entries at one moment", at_one_moment(12, 1)),
        case("the same, three causes", at_one_moment(12, 3)),
        case(
            "few sound requests, three causes",
            SimSettings {
                sound_rate: 0.2,
                causes: 3,
                ..base()
            },
        ),
    ]
}

fn sizes() -> Vec<Case> {
    let of = |engines, entries, causes, moment, other_crashes| SimSettings {
        engines,
        entries,
        causes,
        moment,
        other_crashes,
        first_parts: FirstParts::OfAccounts,
        ..base()
    };
    vec![
        case("before any byte", of(400, 32, 1, silent(), 0.0)),
        case("1,200 ms", of(400, 32, 1, moment(1_200..=1_200), 0.0)),
        case(
            "three causes, 2 others",
            of(400, 32, 3, SimMoment::default(), 2.0),
        ),
        case(
            "three causes, 0.5 sound requests a second and engine",
            SimSettings {
                sound_rate: 0.5,
                ..of(4_000, 100, 3, SimMoment::default(), 0.0)
            },
        ),
    ]
}
