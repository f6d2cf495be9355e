//! The soak's checks of a part that crashes engines, against records of one part's crashes and requests.

use {
    chalkcart_testkit::{
        soak::{violations, PartRecord, SoakRecord, Violation},
        users_platform::CausedCrash,
    },
    std::time::{Duration, Instant},
};

/// When requests reached engines, in s, in a run of seed 9008 whose entries were cut in parts: the engine
/// of each crashed 1.2 s later, the fifth 6.85 s after the first arrival.
const CUT_IN_PARTS: [f64; 9] = [
    0.0, 1.355, 2.928, 4.282, 5.636, 7.154, 8.754, 10.319, 11.674,
];
const CRASH_DELAY: Duration = Duration::from_millis(1_200);

/// Returns a record of requests that reached engines at some times, in s, and crashed each after a while.
fn record(arrivals: &[f64], delay: Duration) -> SoakRecord {
    let first = Instant::now();
    let arrivals = arrivals.iter().enumerate().map(|(number, seconds)| {
        let at = first + Duration::from_secs_f64(*seconds);
        (at, format!("crashing-part-{number}"))
    });
    let arrivals: Vec<(Instant, String)> = arrivals.collect();
    let crashes = arrivals.iter().map(|(at, id)| CausedCrash {
        at: *at + delay,
        request: id.clone(),
    });
    SoakRecord {
        crashes: arrivals.len() as u32,
        crashes_until_blocked: 5,
        part: PartRecord {
            crashes: crashes.collect(),
            arrivals,
        },
        ..SoakRecord::default()
    }
}

/// Guards against a check that counts crashes where the rule counts requests from 3 s after the fifth
/// crash on.
#[test]
fn three_requests_long_after_the_fifth_crash_are_allowed() {
    let two_late = record(&CUT_IN_PARTS, CRASH_DELAY);
    assert_eq!(violations(&two_late), []);
    let arrivals: Vec<f64> = CUT_IN_PARTS.into_iter().chain([13.0]).collect();
    assert_eq!(violations(&record(&arrivals, CRASH_DELAY)), []);
}

/// Guards against requests with a blocked part that go on to reach engines.
#[test]
fn a_fourth_late_request_is_reported() {
    let arrivals: Vec<f64> = CUT_IN_PARTS.into_iter().chain([13.0, 14.4]).collect();
    let too_many = Violation::TooManyLateRequests {
        late: 4,
        allowed: 3,
    };
    assert_eq!(violations(&record(&arrivals, CRASH_DELAY)), [too_many]);
}

/// Guards against late requests that are not counted because their engines survived them.
#[test]
fn late_requests_are_counted_without_a_crash() {
    let arrivals: Vec<f64> = CUT_IN_PARTS.into_iter().chain([13.0, 14.4]).collect();
    let mut record = record(&arrivals, CRASH_DELAY);
    record.part.crashes.truncate(5);
    record.crashes = 5;
    let too_many = Violation::TooManyLateRequests {
        late: 4,
        allowed: 3,
    };
    assert_eq!(violations(&record), [too_many]);
}

/// Guards against many crashes before the part has to be known, which the bound of late requests does not see.
#[test]
fn a_ninth_early_crash_is_reported() {
    let arrivals: Vec<f64> = (0..9).map(|number| f64::from(number) * 0.2).collect();
    let too_many = Violation::TooManyCrashes {
        crashes: 9,
        allowed: 8,
    };
    let delay = Duration::from_millis(20);
    assert_eq!(violations(&record(&arrivals, delay)), [too_many]);
}
