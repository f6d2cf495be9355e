//! Simulated fleets that share one rate-limited engine by permits of its sidecar.

mod intake_sim;

use intake_sim::{simulate, Fault, Scenario, SharingMethod};

const SEEDS: u64 = 3;
/// fraction of the limit that may stay unused while requests wait
const MAX_UNUSED: f64 = 0.15;

fn scenario(entries: u32, fault: Fault, skew: f64, seed: u64) -> Scenario {
    Scenario {
        method: SharingMethod::Permits,
        fault,
        entries,
        per_s: 2.0,
        demand_per_s: 4.0,
        skew,
        seconds: 30,
        seed,
    }
}

/// Guards against: permits, accumulated permits and the shares of entries that can't reach the
/// issuer, which add up to more than the limit.
#[test]
fn no_window_has_more_requests_than_allowed_under_any_fault() {
    let faults = [
        Fault::None,
        Fault::IssuerRestarts,
        Fault::HalfDisconnected,
        Fault::Freezes,
        Fault::LimitChanges,
    ];
    for entries in [4, 25, 103] {
        for fault in faults {
            for (seed, skew) in (0..SEEDS).zip([0.0, 0.8, 0.3]) {
                let outcome = simulate(scenario(entries, fault, skew, seed));
                let max_sent = outcome.max_in_window;
                assert!(
                    max_sent <= outcome.allowed,
                    "{max_sent} of {entries} entries, {fault:?}, seed {seed}"
                );
            }
        }
    }
}

/// Guards against: a limit that is mostly unused, as with equal shares when the requests arrive
/// at one entry.
#[test]
fn a_limit_is_used_wherever_the_requests_arrive() {
    for entries in [4, 25, 103] {
        for skew in [0.0, 0.8] {
            let outcomes =
                (0..SEEDS).map(|seed| simulate(scenario(entries, Fault::None, skew, seed)));
            let unused = outcomes.map(|o| o.unused).sum::<f64>() / SEEDS as f64;
            assert!(unused <= MAX_UNUSED, "{unused} of {entries} entries");
        }
    }
}

/// Guards against: an issuer that starves some of the entries.
#[test]
fn the_issuer_serves_all_entries_in_turn() {
    use chalkcart_coordination::backend_admission::PermitIssuer;
    use chalkcart_protocol::peer::AdmissionReport;
    use std::time::{Duration, Instant};
    let mut issuer = PermitIssuer::default();
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
        granted[number] += issuer.issue(2.0, &report, now).0;
    }
    let (min, max) = (granted.iter().min(), granted.iter().max());
    assert_eq!(granted.iter().sum::<u32>(), 119, "{granted:?}");
    assert!(max.zip(min).is_some_and(|(m, l)| m - l <= 1), "{granted:?}");
}
