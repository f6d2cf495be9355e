//! how often the list of back ends is asked for

use {chalkcart_coordination::retry::ListPacing, std::time::Duration};

fn pause_ms(drain_ms: u64, store_reads_per_s: f64, entries: u32) -> u128 {
    let pacing = ListPacing {
        drain: Duration::from_millis(drain_ms),
        store_reads_per_s,
    };
    pacing.pause(entries).as_millis()
}

#[test]
fn the_pause_follows_the_fleet_the_drain_and_the_store() {
    let cases = [
        (2_000, 2_000.0, 1, 400, "a small fleet"),
        (2_000, 2_000.0, 4, 400, "still small"),
        (
            3_000,
            6_000.0,
            16,
            800,
            "grows with the root of the entries",
        ),
        (3_000, 6_000.0, 32, 1_131, "and further"),
        (
            3_000,
            6_000.0,
            350,
            1_200,
            "no further than the drain allows",
        ),
        (500, 6_000.0, 4, 200, "a short drain"),
        (2_000, 100.0, 32, 1_280, "a slow store goes before all"),
        (2_000, 0.0, 4, 4_000, "no rate at all"),
    ];
    for (drain, reads, entries, expected, name) in cases {
        assert_eq!(pause_ms(drain, reads, entries), expected, "{name}");
    }
}
