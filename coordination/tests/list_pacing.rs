//! The pace of requests for the list of back ends.

use {chalkcart_coordination::retry::ListPacing, std::time::Duration};

fn pause_ms(drain_ms: u64, store_reads_per_s: f64, entries: u32) -> u128 {
    let pacing = ListPacing {
        drain: Duration::from_millis(drain_ms),
        store_reads_per_s,
    };
    pacing.pause(entries).as_millis()
}

#[test]
fn the_pause_depends_on_the_fleet_the_drain_time_and_the_store() {
    let cases = [
        (2_000, 2_000.0, 1, 400, "a small fleet"),
        (2_000, 2_000.0, 4, 400, "still a small fleet"),
        (
            3_000,
            6_000.0,
            16,
            800,
            "grows with the square root of the entries",
        ),
        (3_000, 6_000.0, 32, 1_131, "grows further"),
        (
            3_000,
            6_000.0,
            350,
            1_200,
            "no longer than the drain time allows",
        ),
        (500, 6_000.0, 4, 200, "a short drain time"),
        (
            2_000,
            100.0,
            32,
            1_280,
            "the rate of a slow store takes precedence",
        ),
        (2_000, 0.0, 4, 4_000, "a store without a rate"),
    ];
    for (drain, reads, entries, expected, name) in cases {
        assert_eq!(pause_ms(drain, reads, entries), expected, "{name}");
    }
}
