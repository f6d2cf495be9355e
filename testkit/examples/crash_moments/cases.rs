use {
    chalkcart_testkit::{
        crashing_parts::{Disturbance, ScenarioSettings},
        users_platform::CrashMoment,
    },
    std::time::Duration,
};

/// A scenario with its name.
#[derive(Clone)]
pub struct Case {
    pub name: String,
    pub settings: ScenarioSettings,
}

fn case(name: &str, settings: ScenarioSettings) -> Case {
    let name = name.to_string();
    Case { name, settings }
}

fn moment(delay_ms: std::ops::RangeInclusive<u64>) -> CrashMoment {
    CrashMoment {
        delay_ms,
        ..CrashMoment::default()
    }
}

fn silent() -> CrashMoment {
    CrashMoment {
        silent_percent: 100,
        ..moment(0..=0)
    }
}

fn base() -> ScenarioSettings {
    ScenarioSettings {
        span: Duration::from_secs(20),
        ..ScenarioSettings::default()
    }
}

/// All that is to be shown.
pub fn cases() -> Vec<Case> {
    let mut all = moments();
    all.extend(causes());
    all.extend(requests());
    all.extend(disturbances());
    all
}

fn moments() -> Vec<Case> {
    let late = |delay_ms| ScenarioSettings {
        moment: moment(delay_ms),
        events_before_crash: 1,
        ..base()
    };
    let silent_with = |sound_events| ScenarioSettings {
        moment: silent(),
        sound_events,
        ..base()
    };
    let half = CrashMoment {
        silent_percent: 50,
        ..CrashMoment::default()
    };
    let three_of_four = CrashMoment {
        spared_percent: 25,
        ..CrashMoment::default()
    };
    let with = |moment| ScenarioSettings { moment, ..base() };
    vec![
        case("before any byte", silent_with(20)),
        case("before any byte, sound streams of 3 s", silent_with(60)),
        case("with the first byte", with(moment(0..=0))),
        case("20 ms after the head", base()),
        case("half before any byte, half 20 ms", with(half)),
        case("100 ms", late(100..=100)),
        case("400 ms", late(400..=400)),
        case("700 ms", late(700..=700)),
        case("1,200 ms", late(1_200..=1_200)),
        case(
            "1,200 ms, sound streams of 5 s",
            ScenarioSettings {
                sound_events: 100,
                ..late(1_200..=1_200)
            },
        ),
        case("3,000 ms", late(3_000..=3_000)),
        case("20 to 1,500 ms", late(20..=1_500)),
        case(
            "20 to 1,500 ms, sound streams end at a deadline of 5 s",
            ScenarioSettings {
                sound_events: 200,
                sound_deadline: Duration::from_secs(5),
                ..late(20..=1_500)
            },
        ),
        case("three runs of four", with(three_of_four)),
    ]
}

fn causes() -> Vec<Case> {
    let of = |engines, causes, moment| ScenarioSettings {
        engines,
        causes,
        moment,
        ..base()
    };
    vec![
        case("two causes, 12 engines", of(12, 2, moment(20..=20))),
        case("three causes, 12 engines", of(12, 3, moment(20..=20))),
        case("three causes, 8 engines", of(8, 3, moment(20..=20))),
        case(
            "two causes, 12 engines, before any byte",
            of(12, 2, silent()),
        ),
        case(
            "three causes at one moment, 12 engines",
            ScenarioSettings {
                is_at_one_moment: true,
                ..of(12, 3, moment(20..=20))
            },
        ),
        case(
            "the first part is the cause",
            ScenarioSettings {
                is_cause_first: true,
                ..base()
            },
        ),
        case(
            "none, a crash a second",
            ScenarioSettings {
                causes: 0,
                engines: 12,
                disturbance: Disturbance::EnginesCrash {
                    every: Duration::from_secs(1),
                },
                ..base()
            },
        ),
        case(
            "none, two crashes a second",
            ScenarioSettings {
                causes: 0,
                engines: 12,
                disturbance: Disturbance::EnginesCrash {
                    every: Duration::from_millis(500),
                },
                ..base()
            },
        ),
    ]
}

fn requests() -> Vec<Case> {
    let silent_base = || ScenarioSettings {
        moment: silent(),
        ..base()
    };
    vec![
        case(
            "all entries at one moment, before any byte",
            ScenarioSettings {
                is_at_one_moment: true,
                ..silent_base()
            },
        ),
        case(
            "all entries at one moment, 700 ms",
            ScenarioSettings {
                is_at_one_moment: true,
                moment: moment(700..=700),
                events_before_crash: 1,
                ..base()
            },
        ),
        case(
            "1 a second, before any byte",
            ScenarioSettings {
                crashing_rate: 1.0,
                ..silent_base()
            },
        ),
        case(
            "20 a second, before any byte",
            ScenarioSettings {
                crashing_rate: 20.0,
                ..silent_base()
            },
        ),
        case(
            "sound streams of 0.1 s, before any byte",
            ScenarioSettings {
                sound_events: 2,
                ..silent_base()
            },
        ),
        case(
            "sound streams of 20 s, 1,200 ms",
            ScenarioSettings {
                sound_events: 400,
                sound_deadline: Duration::from_secs(30),
                calm: Duration::from_secs(10),
                moment: moment(1_200..=1_200),
                events_before_crash: 1,
                ..base()
            },
        ),
        case(
            "clients leave after 0.6 s, before any byte",
            ScenarioSettings {
                sound_leaves: Some(Duration::from_millis(600)),
                ..silent_base()
            },
        ),
        case(
            "quiet from 5 to 75 s",
            ScenarioSettings {
                quiet: Some((Duration::from_secs(5), Duration::from_secs(75))),
                span: Duration::from_secs(85),
                ..silent_base()
            },
        ),
        case(
            "streams continued at three engines",
            ScenarioSettings {
                stream_attempts: 3,
                events_before_crash: 2,
                engines: 12,
                ..base()
            },
        ),
    ]
}

fn disturbances() -> Vec<Case> {
    let with = |disturbance| ScenarioSettings {
        disturbance,
        engines: 12,
        moment: silent(),
        ..base()
    };
    let s = Duration::from_secs;
    vec![
        case(
            "entries killed every 3 s",
            with(Disturbance::EntriesKilled { every: s(3) }),
        ),
        case(
            "an entry paused for 2 s every 4 s",
            with(Disturbance::EntriesPaused {
                every: s(4),
                pause: s(2),
            }),
        ),
        case(
            "a sidecar killed every 2 s",
            with(Disturbance::SidecarsKilled { every: s(2) }),
        ),
        case(
            "an engine crashes every 2 s",
            with(Disturbance::EnginesCrash { every: s(2) }),
        ),
        case(
            "an engine crashes every second",
            with(Disturbance::EnginesCrash { every: s(1) }),
        ),
        case(
            "two engines crash a second",
            with(Disturbance::EnginesCrash {
                every: Duration::from_millis(500),
            }),
        ),
    ]
}
