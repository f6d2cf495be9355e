//! Delays from which a process tells that it is overloaded.

use {
    chalkcart_coordination::overload::{ConnectDelay, StandingDelay},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn one_long_step_is_no_standing_delay() {
    let now = Instant::now();
    let mut delay = StandingDelay::new(4, ms(1_000));
    for late in [0, 300, 1, 0] {
        delay.record(now, ms(late));
    }
    assert_eq!(delay.get(now), ms(0));
    for late in [30, 40, 25, 60] {
        delay.record(now, ms(late));
    }
    assert_eq!(delay.get(now), ms(25));
}

#[test]
fn delays_of_long_ago_do_not_count() {
    let now = Instant::now();
    let mut delay = StandingDelay::new(3, ms(500));
    (0..3).for_each(|_| delay.record(now, ms(50)));
    assert_eq!(delay.get(now + ms(500)), ms(50));
    assert_eq!(delay.get(now + ms(501)), ms(0));
}

#[test]
fn distant_peers_are_no_connect_delay() {
    let began = Instant::now();
    let mut delay = ConnectDelay::default();
    for step in 0..20 {
        let now = began + ms(30 * step);
        delay.record(now, peer(1), ms(100));
        delay.record(now, peer(2), ms(1));
        assert_eq!(delay.get(now), ms(0));
    }
}

/// Guards against connections closed unread after one pause of the process.
#[test]
fn connects_delayed_by_one_pause_are_no_connect_delay() {
    let began = Instant::now();
    let mut delay = ConnectDelay::default();
    for step in 0..10 {
        delay.record(began + ms(30 * step), peer(1), ms(1));
    }
    let resumed = began + ms(300);
    for number in 0..20 {
        delay.record(resumed + Duration::from_micros(number), peer(1), ms(40));
    }
    assert_eq!(delay.get(resumed + ms(1)), ms(0));
}

#[test]
fn a_full_link_delays_the_connects_to_all_peers() {
    let began = Instant::now();
    let mut delay = ConnectDelay::default();
    for number in 0..10 {
        delay.record(began, peer(number), ms(u64::from(number)));
    }
    for number in 0..10 {
        let now = began + ms(30 + 30 * u64::from(number));
        delay.record(now, peer(number), ms(u64::from(number) + 40));
    }
    assert_eq!(delay.get(began + ms(300)), ms(40));
}

#[test]
fn connects_that_stay_longer_become_the_usual_ones() {
    let began = Instant::now();
    let mut delay = ConnectDelay::default();
    delay.record(began, peer(1), ms(1));
    let mut now = began;
    for _ in 0..400 {
        now += ms(30);
        delay.record(now, peer(1), ms(60));
    }
    assert!(delay.get(now) < ms(10), "{:?}", delay.get(now));
}
