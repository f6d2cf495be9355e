//! The issuer of permits to load from the weight store.

use {
    chalkcart_coordination::permits::{LoadPermitIssuer, LoadPermitSettings},
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest, PermitResponse},
    std::time::{Duration, Instant},
};

fn request_of(target: &str, priority: u8, waited: u64) -> PermitRequest {
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
fn permits_stay_within_the_stores_limits() {
    let start = Instant::now();
    let settings = LoadPermitSettings::default();
    let mut issuer = LoadPermitIssuer::new(settings.clone(), start);
    let mut granted = 0;
    let mut now = start;
    // ten targets that repeat their request until it is granted, then request another
    let mut requested_at = [start; 10];
    for step in 0..400 {
        now = start + Duration::from_millis(25 * step);
        let index = step as usize % requested_at.len();
        let mut request = request_of(&format!("t{index}"), 0, 0);
        request.waited = now - requested_at[index];
        if is_granted(issuer.request(&request, now)) {
            granted += 1;
            issuer.release(&request);
            requested_at[index] = now;
        }
    }
    let seconds = (now - start).as_secs_f64();
    let bound = seconds * f64::from(settings.loads_per_second) + 3.0;
    assert!(f64::from(granted) <= bound, "{granted} in {seconds} s");
    assert!(granted > 20, "{granted}");
}

#[test]
fn the_most_urgent_then_the_longest_waiting_load_is_permitted_first() {
    let start = Instant::now();
    let mut issuer = LoadPermitIssuer::new(LoadPermitSettings::default(), start);
    assert!(is_granted(
        issuer.request(&request_of("first", 2, 0), start)
    ));
    for (target, priority, waited) in [("late", 0, 1), ("patient", 2, 9), ("early", 0, 5)] {
        assert!(!is_granted(
            issuer.request(&request_of(target, priority, waited), start)
        ));
    }
    let now = start + Duration::from_millis(400);
    let order = ["patient", "late", "early"].map(|target| {
        let (priority, waited) = match target {
            "patient" => (2, 9),
            "late" => (0, 1),
            _ => (0, 5),
        };
        is_granted(issuer.request(&request_of(target, priority, waited), now))
    });
    assert_eq!(order, [false, false, true]);
}

#[test]
fn a_permit_that_is_not_released_expires() {
    let start = Instant::now();
    let settings = LoadPermitSettings {
        loads_at_once: 1,
        ..LoadPermitSettings::default()
    };
    let mut issuer = LoadPermitIssuer::new(settings.clone(), start);
    assert!(is_granted(issuer.request(&request_of("dead", 0, 0), start)));
    let later = start + settings.lease / 2;
    assert!(!is_granted(
        issuer.request(&request_of("next", 0, 0), later)
    ));
    assert!(
        is_granted(issuer.request(&request_of("dead", 0, 0), later)),
        "requested again after a lost response"
    );
    let after = start + settings.lease;
    assert!(is_granted(issuer.request(&request_of("next", 0, 0), after)));
}

#[test]
fn loads_at_a_low_rank_retry_later_but_before_their_request_expires() {
    let start = Instant::now();
    let settings = LoadPermitSettings::default();
    let mut issuer = LoadPermitIssuer::new(settings.clone(), start);
    let retry = |answer| match answer {
        PermitResponse::Wait { retry_after } => retry_after,
        PermitResponse::Granted { .. } => Duration::ZERO,
    };
    let pauses: Vec<Duration> = (0..50)
        .map(|number| issuer.request(&request_of(&format!("t{number}"), number, 0), start))
        .map(retry)
        .collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses[1], settings.min_retry_after);
    assert_eq!(pauses[49], settings.max_retry_after);
    assert!(settings.max_retry_after < settings.request_ttl);
}
