//! Fleets that share one limited engine by permits of its sidecar, in simulated time.

mod intake_sim;

use intake_sim::{play, Setting, Trouble, Way};

const SEEDS: u64 = 3;
/// of what the limit lets be sent, this part may be left while requests wait
const MOST_UNUSED: f64 = 0.15;

fn setting(entries: u32, trouble: Trouble, skew: f64, seed: u64) -> Setting {
    Setting {
        way: Way::Permits,
        trouble,
        entries,
        per_s: 2.0,
        demand_per_s: 4.0,
        skew,
        seconds: 30,
        seed,
    }
}

/// Guards against: permits, what is saved of them, and the parts of those that do not hear the
/// dealer add up to more than the engine takes.
#[test]
fn no_window_has_more_than_is_allowed_whatever_happens() {
    let troubles = [
        Trouble::None,
        Trouble::DealerRestarts,
        Trouble::HalfCut,
        Trouble::Freezes,
        Trouble::LimitChanges,
    ];
    for entries in [4, 25, 103] {
        for trouble in troubles {
            for (seed, skew) in (0..SEEDS).zip([0.0, 0.8, 0.3]) {
                let outcome = play(setting(entries, trouble, skew, seed));
                let most = outcome.most_in_window;
                assert!(
                    most <= outcome.allowed,
                    "{most} of {entries} entries, {trouble:?}, seed {seed}"
                );
            }
        }
    }
}

/// Guards against: a limit that is kept and wasted, as equal parts waste it: most of it where
/// the requests come to one entry.
#[test]
fn a_limit_is_used_wherever_its_requests_come() {
    for entries in [4, 25, 103] {
        for skew in [0.0, 0.8] {
            let played = (0..SEEDS).map(|seed| play(setting(entries, Trouble::None, skew, seed)));
            let unused = played.map(|o| o.unused).sum::<f64>() / SEEDS as f64;
            assert!(unused <= MOST_UNUSED, "{unused} of {entries} entries");
        }
    }
}

/// Guards against: a dealer that serves one entry and lets others wait for ever.
#[test]
fn the_dealer_serves_all_in_turn() {
    use chalkcart_coordination::intake::PermitDealer;
    use chalkcart_protocol::peer::AdmissionReport;
    use std::time::{Duration, Instant};
    let mut dealer = PermitDealer::default();
    let mut granted = [0u32; 5];
    let begun = Instant::now();
    for step in 0..6_000u32 {
        let now = begun + Duration::from_millis(10) * step;
        let number = step as usize % granted.len();
        let report = AdmissionReport {
            entry: format!("entry-{number}"),
            backend: "e".into(),
            named: None,
            freed_ago_ms: None,
            wanted: 5,
            priority: 1,
            unused: 0,
        };
        granted[number] += dealer.deal(2.0, &report, now).0;
    }
    let (least, most) = (granted.iter().min(), granted.iter().max());
    assert_eq!(granted.iter().sum::<u32>(), 119, "{granted:?}");
    assert!(
        most.zip(least).is_some_and(|(m, l)| m - l <= 1),
        "{granted:?}"
    );
}
