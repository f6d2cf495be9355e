//! Time for which API keys are accepted on a box that receives no newer configuration.

use {
    chalkcart_coordination::config::ConfigLease,
    std::time::{Duration, Instant},
};

const REVOKED_WITHIN: Duration = Duration::from_secs(5);

#[test]
fn a_lease_starts_with_a_configuration_and_ends_before_a_key_must_be_rejected() {
    let start = Instant::now();
    let mut lease = ConfigLease::new(Some(REVOKED_WITHIN));
    assert!(!lease.is_valid(start), "no configuration was received");
    lease.on_current(start);
    assert!(lease.is_valid(start + REVOKED_WITHIN * 9 / 10));
    assert!(!lease.is_valid(start + REVOKED_WITHIN));
}

/// A delayed response shows what was current when it was requested.
#[test]
fn a_delayed_response_does_not_extend_a_lease() {
    let start = Instant::now();
    let mut lease = ConfigLease::new(Some(REVOKED_WITHIN));
    let later = start + Duration::from_secs(3);
    lease.on_current(later);
    lease.on_current(start);
    assert_eq!(
        lease.age(later),
        Some(Duration::ZERO),
        "the lease never goes back"
    );
    let resumed_at = later + Duration::from_secs(60);
    assert!(!lease.is_valid(resumed_at), "a suspension ends it");
}

#[test]
fn an_unreadable_configuration_suspends_a_lease() {
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
fn a_lease_without_a_bound_is_always_valid() {
    let lease = ConfigLease::new(None);
    assert!(lease.is_valid(Instant::now()));
}
