//! the giver of load permits

use {
    chalkcart_coordination::permits::{PermitGiver, PermitSettings},
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest, PermitResponse},
    std::time::{Duration, Instant},
};

fn ask(target: &str, priority: u8, waited: u64) -> PermitRequest {
    PermitRequest {
        purpose: PermitPurpose::Ask,
        target: target.to_string(),
        adapter: "a".to_string(),
        priority,
        waited: Duration::from_secs(waited),
    }
}

fn is_granted(answer: PermitResponse) -> bool {
    matches!(answer, PermitResponse::Granted { .. })
}

#[test]
fn no_more_than_the_stores_limits_are_out() {
    let start = Instant::now();
    let settings = PermitSettings::default();
    let mut giver = PermitGiver::new(settings.clone(), start);
    let mut granted = 0;
    let mut now = start;
    // ten targets that come back until they get one, then wish for another
    let mut wished = [start; 10];
    for step in 0..400 {
        now = start + Duration::from_millis(25 * step);
        let index = step as usize % wished.len();
        let mut ask = ask(&format!("t{index}"), 0, 0);
        ask.waited = now - wished[index];
        if is_granted(giver.ask(&ask, now)) {
            granted += 1;
            giver.give_back(&ask);
            wished[index] = now;
        }
    }
    let seconds = (now - start).as_secs_f64();
    let bound = seconds * f64::from(settings.loads_per_second) + 3.0;
    assert!(f64::from(granted) <= bound, "{granted} in {seconds} s");
    assert!(granted > 20, "{granted}");
}

#[test]
fn the_most_urgent_then_the_longest_wait_goes_first() {
    let start = Instant::now();
    let mut giver = PermitGiver::new(PermitSettings::default(), start);
    assert!(is_granted(giver.ask(&ask("first", 2, 0), start)));
    for (target, priority, waited) in [("late", 0, 1), ("patient", 2, 9), ("early", 0, 5)] {
        assert!(!is_granted(
            giver.ask(&ask(target, priority, waited), start)
        ));
    }
    let now = start + Duration::from_millis(400);
    let order = ["patient", "late", "early"].map(|target| {
        let (priority, waited) = match target {
            "patient" => (2, 9),
            "late" => (0, 1),
            _ => (0, 5),
        };
        is_granted(giver.ask(&ask(target, priority, waited), now))
    });
    assert_eq!(order, [false, false, true]);
}

#[test]
fn a_lease_that_is_not_given_back_ends() {
    let start = Instant::now();
    let settings = PermitSettings {
        loads_at_once: 1,
        ..PermitSettings::default()
    };
    let mut giver = PermitGiver::new(settings.clone(), start);
    assert!(is_granted(giver.ask(&ask("dead", 0, 0), start)));
    let later = start + settings.lease / 2;
    assert!(!is_granted(giver.ask(&ask("next", 0, 0), later)));
    assert!(
        is_granted(giver.ask(&ask("dead", 0, 0), later)),
        "asked again after a lost answer"
    );
    let after = start + settings.lease;
    assert!(is_granted(giver.ask(&ask("next", 0, 0), after)));
}

#[test]
fn those_far_behind_come_back_later_but_before_they_are_forgotten() {
    let start = Instant::now();
    let settings = PermitSettings::default();
    let mut giver = PermitGiver::new(settings.clone(), start);
    let retry = |answer| match answer {
        PermitResponse::Wait { retry_after } => retry_after,
        PermitResponse::Granted { .. } => Duration::ZERO,
    };
    let pauses: Vec<Duration> = (0..50)
        .map(|number| giver.ask(&ask(&format!("t{number}"), number, 0), start))
        .map(retry)
        .collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses[1], settings.retry_after);
    assert_eq!(pauses[49], settings.longest_retry);
    assert!(settings.longest_retry < settings.patience);
}
