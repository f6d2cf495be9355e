//! how long keys may be used on a box that hears nothing newer

use {
    chalkcart_coordination::config::ConfigLease,
    std::time::{Duration, Instant},
};

const REVOKED_WITHIN: Duration = Duration::from_secs(5);

#[test]
fn a_lease_begins_with_what_is_known_and_ends_before_a_key_must_be_gone() {
    let start = Instant::now();
    let mut lease = ConfigLease::new(Some(REVOKED_WITHIN));
    assert!(!lease.is_valid(start), "nothing was heard");
    lease.on_current(start);
    assert!(lease.is_valid(start + REVOKED_WITHIN * 9 / 10));
    assert!(!lease.is_valid(start + REVOKED_WITHIN));
}

/// an answer that was long on its way speaks of the moment it was asked for
#[test]
fn an_answer_that_comes_late_does_not_prolong_a_lease() {
    let start = Instant::now();
    let mut lease = ConfigLease::new(Some(REVOKED_WITHIN));
    let later = start + Duration::from_secs(3);
    lease.on_current(later);
    lease.on_current(start);
    assert_eq!(lease.age(later), Some(Duration::ZERO), "never back");
    let frozen_until = later + Duration::from_secs(60);
    assert!(!lease.is_valid(frozen_until), "a freeze ends it");
}

#[test]
fn what_cant_be_read_ends_a_lease_until_something_can() {
    let now = Instant::now();
    let mut lease = ConfigLease::new(Some(REVOKED_WITHIN));
    lease.on_current(now);
    lease.on_configuration(false);
    lease.on_current(now);
    assert!(!lease.is_valid(now));
    lease.on_configuration(true);
    assert!(lease.is_valid(now));
}

#[test]
fn without_a_bound_what_is_known_holds() {
    let lease = ConfigLease::new(None);
    assert!(lease.is_valid(Instant::now()));
}
