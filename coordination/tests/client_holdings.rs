//! What clients hold in a process is bound, and who behaves keeps what it has.

use {
    chalkcart_coordination::overload::{
        ClientHoldings, Door, HolderId, HoldingLimits, NoRoom, Stage, WayGiven,
    },
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::time::{Duration, Instant},
};

const KIB: usize = 1024;
const BYTES: usize = 1024 * KIB;
/// Largest body that a client may send.
const MAX_BODY: usize = 256 * KIB;
const DOOR: Door = Door {
    name: "test",
    places: 8,
};
const LONG: Duration = Duration::from_secs(2);

fn holdings() -> ClientHoldings {
    ClientHoldings::new(HoldingLimits::of_bytes(BYTES))
}

/// Opens a connection with a request whose body is arriving.
fn upload(holdings: &mut ClientHoldings, now: Instant) -> HolderId {
    let (connection, _) = holdings.connect(DOOR, now).expect("a place");
    holdings.enter(connection, Stage::Busy, now);
    holdings.request(connection, now).expect("a connection")
}

fn told(holdings: &ClientHoldings, id: HolderId) -> Option<WayGiven> {
    holdings.gives_way(id)
}

/// Guards against a body that stops short keeping its bytes from others.
#[test]
fn a_body_that_stalls_gives_way_to_one_that_arrives() {
    let (mut holdings, now) = (holdings(), Instant::now());
    let stalled: Vec<HolderId> = (0..3).map(|_| upload(&mut holdings, now)).collect();
    for id in &stalled {
        assert_eq!(holdings.hold(*id, MAX_BODY - 1, now), Ok(vec![]));
    }
    let later = now + LONG;
    let arriving = upload(&mut holdings, later);
    let leaving = holdings.hold(arriving, MAX_BODY, later).expect("room");
    assert_eq!(leaving.len(), 1);
    assert_eq!(told(&holdings, leaving[0]), Some(WayGiven::ForBytes));
    assert_eq!(told(&holdings, arriving), None);
}

/// Guards against large bodies taking the room of usual requests.
#[test]
fn a_usual_request_has_room_beside_whole_large_ones() {
    let (mut holdings, now) = (holdings(), Instant::now());
    let mut whole = 0;
    for _ in 0..7 {
        let id = upload(&mut holdings, now);
        if holdings.hold(id, MAX_BODY, now).is_ok() {
            holdings.enter(id, Stage::Whole, now);
            whole += 1;
        }
    }
    assert_eq!(whole, 3, "a quarter is kept for usual ones");
    let usual = upload(&mut holdings, now);
    assert_eq!(holdings.hold(usual, 4 * KIB, now), Ok(vec![]));
}

/// Guards against a request that has arrived whole being told to give way.
#[test]
fn what_is_whole_never_gives_way() {
    let (mut holdings, now) = (holdings(), Instant::now());
    let whole = upload(&mut holdings, now);
    holdings.hold(whole, 3 * BYTES / 4, now).expect("alone");
    holdings.enter(whole, Stage::Whole, now);
    let other = upload(&mut holdings, now + LONG);
    assert_eq!(holdings.hold(other, MAX_BODY, now + LONG), Err(NoRoom));
    assert_eq!(told(&holdings, whole), None);
}

/// Guards against a single legal request that is refused in calm, as its body is larger than the
/// bound of all.
#[test]
fn a_single_request_is_served_whatever_its_size() {
    let (mut holdings, now) = (holdings(), Instant::now());
    let alone = upload(&mut holdings, now);
    assert_eq!(holdings.hold(alone, 3 * BYTES, now), Ok(vec![]));
}

/// Guards against the order in which connections give way for a place: those that sent no whole
/// head, then those whose body stalls, then idle ones; never one that waits for its response.
#[test]
fn the_least_needed_connection_gives_its_place() {
    let (mut holdings, now) = (holdings(), Instant::now());
    let connect = |holdings: &mut ClientHoldings, now| holdings.connect(DOOR, now);
    let waiting = upload(&mut holdings, now);
    holdings.enter(waiting, Stage::Whole, now);
    let stalled = upload(&mut holdings, now);
    let (idle, _) = connect(&mut holdings, now).expect("a place");
    holdings.enter(idle, Stage::Busy, now);
    holdings.enter(idle, Stage::Idle, now);
    let (half, _) = connect(&mut holdings, now).expect("a place");
    assert_eq!(holdings.hold(half, 40, now), Ok(vec![]));
    let (silent, _) = connect(&mut holdings, now).expect("a place");
    let busy: Vec<HolderId> = (5..DOOR.places)
        .map(|_| upload(&mut holdings, now))
        .collect();
    for id in busy {
        holdings.enter(id, Stage::Whole, now);
    }
    let later = now + LONG;
    let mut order = Vec::new();
    while let Ok((_, leaving)) = connect(&mut holdings, later) {
        order.extend(leaving.first().copied());
    }
    assert_eq!(order, [half, silent, stalled, idle]);
    assert_eq!(told(&holdings, waiting), None);
}

/// Guards against a client being cut off whose head arrives just as it is told to give way.
#[test]
fn a_head_that_arrives_in_time_keeps_its_connection() {
    let (mut holdings, now) = (holdings(), Instant::now());
    let (late, _) = holdings.connect(DOOR, now).expect("a place");
    holdings.hold(late, 10, now).expect("room");
    assert_eq!(holdings.expire_heads(LONG, now + LONG), [late]);
    holdings.enter(late, Stage::Busy, now + LONG);
    assert_eq!(told(&holdings, late), None);
    assert_eq!(holdings.open_connections(DOOR), 1);
}

/// Guards against any series of clients (seeded) that takes more than the bound, or whose end leaves
/// something behind.
#[test]
fn no_series_of_clients_holds_more_than_the_bound() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut holdings, mut now) = (holdings(), Instant::now());
        let mut live: Vec<(HolderId, Option<HolderId>)> = Vec::new();
        for _ in 0..2_000 {
            now += Duration::from_millis(rng.random_range(0..200));
            match rng.random_range(0..6) {
                0 => {
                    if let Ok((id, _)) = holdings.connect(DOOR, now) {
                        live.push((id, None));
                    }
                }
                1 => drop(holdings.expire_heads(Duration::from_secs(3), now)),
                _ if live.is_empty() => {}
                2 => {
                    let at = rng.random_range(0..live.len());
                    let (connection, request) = &mut live[at];
                    holdings.enter(*connection, Stage::Busy, now);
                    if request.is_none() {
                        *request = holdings.request(*connection, now);
                    }
                }
                3 => {
                    let (connection, request) = live.swap_remove(rng.random_range(0..live.len()));
                    request.into_iter().for_each(|id| holdings.end(id));
                    holdings.end(connection);
                }
                _ => {
                    let (connection, request) = live[rng.random_range(0..live.len())];
                    let id = request.unwrap_or(connection);
                    // what is refused, or told to go, is dropped
                    if holdings
                        .hold(id, rng.random_range(1..MAX_BODY / 4), now)
                        .is_err()
                    {
                        request.into_iter().for_each(|id| holdings.end(id));
                        holdings.end(connection);
                        live.retain(|(other, _)| *other != connection);
                    }
                }
            }
            // as the tasks of a process do
            live.retain(|(connection, request)| {
                let leaves = [Some(*connection), *request]
                    .into_iter()
                    .flatten()
                    .any(|id| holdings.gives_way(id).is_some());
                if leaves {
                    request.iter().for_each(|id| holdings.end(*id));
                    holdings.end(*connection);
                }
                !leaves
            });
            assert!(
                holdings.bytes() <= BYTES,
                "seed {seed}: {}",
                holdings.bytes()
            );
            assert!(
                holdings.open_connections(DOOR) <= DOOR.places,
                "seed {seed}"
            );
        }
        for (connection, request) in live {
            request.into_iter().for_each(|id| holdings.end(id));
            holdings.end(connection);
        }
        assert_eq!(holdings.bytes(), 0, "seed {seed}");
        assert_eq!(holdings.open_connections(DOOR), 0, "seed {seed}");
    }
}
