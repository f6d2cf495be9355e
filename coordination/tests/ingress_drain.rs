//! the times of a planned stop

use {chalkcart_coordination::drain::IngressDrain, std::time::Duration};

/// requests sent later than this after the signal may not be cut at the end of
/// the grace (the users' rules, LOST)
const LAST_TAKEN: Duration = Duration::from_secs(3);
/// the balancer asks each second and sends no new connections after two misses
const BALANCER_NOTICES: Duration = Duration::from_secs(2);
/// a link that holds a request up for longer is at fault
const SLOW_LINK: Duration = Duration::from_millis(250);

#[test]
fn no_request_is_taken_that_may_not_end_within_the_grace() {
    for grace_s in [1, 3, 8, 30] {
        let grace = Duration::from_secs(grace_s);
        let drain = IngressDrain { grace };
        let last_read = drain.close_after() + SLOW_LINK;
        assert!(last_read <= LAST_TAKEN.max(grace), "{grace_s} s");
        assert!(drain.close_after() <= drain.exit_after(), "{grace_s} s");
        assert!(drain.exit_after() < grace, "{grace_s} s");
    }
}

#[test]
fn connections_are_closed_between_the_balancers_notice_and_the_last_request() {
    let grace = Duration::from_secs(8);
    let drain = IngressDrain { grace };
    assert!(drain.close_after() > BALANCER_NOTICES);
    assert!(drain.close_after() + SLOW_LINK <= LAST_TAKEN);
}
