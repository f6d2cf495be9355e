//! Timing of a graceful shutdown.

use {
    chalkcart_coordination::drain::{ExpectedTime, IngressDrain, LastStart, RunTimes},
    quickcheck::{Arbitrary, Gen},
    std::time::{Duration, Instant},
};

/// by the platform's rules, requests accepted up to this time after the signal must be completed
/// within the grace period
const ACCEPT_PERIOD: Duration = Duration::from_secs(3);
/// the load balancer checks each second, and stops sending new connections after two failures
const BALANCER_NOTICE_TIME: Duration = Duration::from_secs(2);
/// maximum delay of a request on a link that isn't faulty
const MAX_LINK_DELAY: Duration = Duration::from_millis(250);

#[test]
fn no_request_is_accepted_that_might_not_complete_within_the_grace_period() {
    for grace_s in [1, 3, 8, 30] {
        let grace = Duration::from_secs(grace_s);
        let drain = IngressDrain { grace };
        let last_read = drain.close_after() + MAX_LINK_DELAY;
        assert!(last_read <= ACCEPT_PERIOD.max(grace), "{grace_s} s");
        assert!(drain.close_after() <= drain.exit_after(), "{grace_s} s");
        assert!(drain.exit_after() < grace, "{grace_s} s");
    }
}

#[test]
fn connections_are_closed_after_the_balancer_notices_and_before_the_accept_period_ends() {
    let grace = Duration::from_secs(8);
    let drain = IngressDrain { grace };
    assert!(drain.close_after() > BALANCER_NOTICE_TIME);
    assert!(drain.close_after() + MAX_LINK_DELAY <= ACCEPT_PERIOD);
}

const SEED: u64 = 93;

/// Guards against a request that is sent though it can't end before the process does.
#[test]
fn a_request_starts_only_if_it_ends_before_the_process() {
    let now = Instant::now();
    let ms = |ms: u64| Duration::from_millis(ms);
    let takes = |usual: u64, long: u64| {
        Some(ExpectedTime {
            usual: ms(usual),
            long: ms(long),
        })
    };
    let exits_at = now + ms(2_000);
    let last = LastStart {
        accepts_until: now,
        exits_at,
    };
    let late = now + ms(60_000);
    assert!(last.may_start(takes(1_000, 2_000), late, now));
    assert!(!last.may_start(takes(1_000, 2_001), late, now));
    assert!(last.may_start(None, late, now), "nothing is known");
    assert!(
        last.may_start(takes(5_000, 5_000), exits_at, now),
        "its deadline ends it before"
    );
    assert!(!last.may_start(takes(1, 1), late, exits_at));
    // while requests are accepted, one that usually ends in time is not declined
    let last = LastStart {
        accepts_until: now + ms(1),
        exits_at,
    };
    assert!(last.may_start(takes(2_000, 9_000), late, now));
    assert!(!last.may_start(takes(2_001, 9_000), late, now));
}

/// Guards against a queue of requests that is passed on until the exit: with run times that vary by
/// half, at most one in ten of those sent may end too late, and none of those declined has run.
#[test]
fn runs_of_any_usual_time_end_before_the_exit() {
    let mut g = Gen::from_size_and_seed(20, SEED);
    let (mut sent, mut cut) = (0, 0);
    for _ in 0..200 {
        let start = Instant::now();
        let usual = 50 + u64::from(u16::arbitrary(&mut g) % 6_000);
        let mut times = RunTimes::default();
        let any_time = |g: &mut Gen| usual * 3 / 4 + u64::from(u8::arbitrary(g)) * usual / 510;
        for run in 0..40 {
            times.on_sent("r", run, start);
            let took = Duration::from_millis(any_time(&mut g));
            times.on_ended("r", run, true, start + took);
        }
        let exits_at = start + Duration::from_millis(7_850);
        let last = LastStart {
            accepts_until: start,
            exits_at,
        };
        for step in 0..78 {
            let now = start + Duration::from_millis(100 * step);
            let expected = times.expected("r", now);
            if last.may_start(expected, start + Duration::from_secs(60), now) {
                sent += 1;
                let ends_at = now + Duration::from_millis(any_time(&mut g));
                cut += u32::from(ends_at > exits_at);
            }
        }
    }
    assert!(sent > 1_000);
    assert!(cut * 10 <= sent, "{cut} of {sent}");
    assert_eq!(cut, 0, "the margin covers what is slower than nine in ten");
}

/// Guards against back ends that have answered nothing yet and count as fast.
#[test]
fn runs_that_have_not_ended_show_how_long_they_take_at_least() {
    let start = Instant::now();
    let mut times = RunTimes::default();
    assert_eq!(times.expected("r", start), None);
    times.on_sent("r", 1, start);
    times.on_sent("r", 2, start + Duration::from_secs(1));
    let usual = |times: &RunTimes| {
        let expected = times.expected("r", start + Duration::from_secs(4));
        expected.map(|time| time.usual)
    };
    assert_eq!(usual(&times), Some(Duration::from_secs(4)));
    // a run that failed tells nothing
    times.on_ended("r", 1, false, start + Duration::from_secs(4));
    assert_eq!(usual(&times), Some(Duration::from_secs(3)));
}
