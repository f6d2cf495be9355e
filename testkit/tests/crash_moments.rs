//! Parts of prompts that crash engines, by the moment of the crash: four entries as processes, sound
//! requests with the same first part beside them.

use {
    anyhow::Result,
    chalkcart_testkit::{
        crashing_parts::{run, Disturbance, Outcome, ScenarioSettings},
        users_platform::CrashMoment,
    },
    std::time::Duration,
};

/// Requests with a part that may reach engines from 3 s after the fifth crash on.
const MAX_LATE: usize = 3;
/// Part of the sound requests that must begin at their first attempt, of that in calm.
const MIN_BEGUN: f64 = 0.5;

fn assert_kept(outcome: &Outcome) {
    assert!(outcome.worst_late() <= MAX_LATE, "{outcome:?}");
    assert_eq!(outcome.sound_blocked, 0, "{outcome:?}");
    let least = MIN_BEGUN * outcome.begun_before;
    assert!(outcome.begun_after >= least, "{outcome:?}");
    let is_enough = outcome.crashes >= 4 && outcome.begun_before > 0.9;
    assert!(is_enough, "the scenario shows nothing: {outcome:?}");
}

fn moment(delay_ms: u64) -> CrashMoment {
    CrashMoment {
        delay_ms: delay_ms..=delay_ms,
        ..CrashMoment::default()
    }
}

fn silent() -> CrashMoment {
    CrashMoment {
        silent_percent: 100,
        ..moment(0)
    }
}

/// Guards against a cause without evidence and a blocked first part where no byte of a response came.
#[tokio::test]
async fn a_part_that_crashes_engines_before_any_byte_is_told() -> Result<()> {
    let settings = ScenarioSettings {
        moment: silent(),
        sound_events: 60,
        ..ScenarioSettings::default()
    };
    assert_kept(&run(settings).await?);
    Ok(())
}

/// Guards against crashes of several entries at one moment that count as one of another cause.
#[tokio::test]
async fn a_part_that_all_entries_get_at_one_moment_is_told() -> Result<()> {
    let settings = ScenarioSettings {
        moment: silent(),
        is_at_one_moment: true,
        ..ScenarioSettings::default()
    };
    assert_kept(&run(settings).await?);
    Ok(())
}

/// Guards against runs that disprove or clear the part that crashes their engine later on.
#[tokio::test]
async fn a_part_that_crashes_engines_late_in_a_run_is_told() -> Result<()> {
    for delay_ms in [700, 1_200] {
        let settings = ScenarioSettings {
            moment: moment(delay_ms),
            events_before_crash: 1,
            ..ScenarioSettings::default()
        };
        assert_kept(&run(settings).await?);
    }
    Ok(())
}

/// Guards against a first part that is blocked since it stands under the crashes of all causes.
#[tokio::test]
async fn what_stands_beside_two_causes_is_not_blocked() -> Result<()> {
    let settings = ScenarioSettings {
        engines: 12,
        causes: 2,
        ..ScenarioSettings::default()
    };
    assert_kept(&run(settings).await?);
    Ok(())
}

/// Guards against an entry that starts again, hears of crashes alone and blocks what all share.
#[tokio::test]
async fn entries_that_start_again_block_the_cause_alone() -> Result<()> {
    let settings = ScenarioSettings {
        engines: 12,
        moment: silent(),
        disturbance: Disturbance::EntriesKilled {
            every: Duration::from_secs(3),
        },
        ..ScenarioSettings::default()
    };
    let outcome = run(settings).await?;
    assert!(outcome.worst_late() <= MAX_LATE, "{outcome:?}");
    assert_eq!(outcome.sound_blocked, 0, "{outcome:?}");
    Ok(())
}
