//! Timing of a graceful shutdown.

use {chalkcart_coordination::drain::IngressDrain, std::time::Duration};

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
