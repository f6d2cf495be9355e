//! The run-once table under random sequences of reservations, copies, starts, cancellations
//! and completions, with fixed seeds.

use {
    chalkcart_coordination::run_once::{Admission, RunOnceSettings, RunOnceTable},
    chalkcart_protocol::peer::Outcome,
    chalkcart_state::ids::ReservedId,
    quickcheck::{Gen, QuickCheck},
    std::{
        collections::{HashMap, HashSet},
        time::{Duration, Instant},
    },
};

const SEED: u64 = 41;
const CAPACITY: usize = 8;
const VALID_FOR: Duration = Duration::from_secs(10);

fn new_table() -> RunOnceTable {
    RunOnceTable::new(RunOnceSettings {
        target: "till-1".to_string(),
        incarnation: 7,
        capacity: CAPACITY,
        valid_for: VALID_FOR,
    })
}

/// Applies random operations, and returns whether no id started twice or after it was
/// reported as not run.
fn runs_at_most_once(codes: Vec<u16>) -> bool {
    let mut table = new_table();
    let mut now = Instant::now();
    let mut ids: Vec<ReservedId> = Vec::new();
    let mut starts: HashMap<ReservedId, u32> = HashMap::new();
    let mut not_run: HashSet<ReservedId> = HashSet::new();
    for code in codes {
        let (choice, detail) = ((code >> 8) as u8 % 8, usize::from(code as u8));
        if choice == 0 {
            let drawn = table.reserve(1 + detail as u32 % 3, now, || code.into());
            ids.extend(drawn.unwrap_or_default());
            continue;
        }
        if choice == 1 {
            now += Duration::from_millis(40 * detail as u64);
            continue;
        }
        let Some(id) = ids.get(detail % ids.len().max(1)).cloned() else {
            continue;
        };
        match choice {
            2 | 3 => match table.admit(&id, now) {
                Ok(Admission::First | Admission::Duplicate) => {}
                Err(e) if e.outcome() == Outcome::NotRun => {
                    not_run.insert(id);
                }
                Err(_) => {}
            },
            4 | 5 => {
                if table.start(&id) {
                    *starts.entry(id).or_insert(0) += 1;
                }
            }
            6 => {
                if table.cancel(&id) == Outcome::NotRun {
                    not_run.insert(id);
                }
            }
            _ => table.finish(&id, Outcome::Ran),
        }
    }
    let is_started_once = starts.values().all(|n| *n == 1);
    let is_never_run = not_run.iter().all(|id| !starts.contains_key(id));
    is_started_once && is_never_run && table.len() <= CAPACITY
}

#[test]
fn no_sequence_of_events_starts_an_id_twice_or_after_not_run() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, SEED))
        .tests(2_000)
        .quickcheck(runs_at_most_once as fn(Vec<u16>) -> bool);
}

#[test]
fn later_copies_are_duplicates() {
    let now = Instant::now();
    let mut table = new_table();
    let id = table.reserve(1, now, || 5).expect("room").remove(0);
    assert_eq!(table.admit(&id, now), Ok(Admission::First));
    assert_eq!(table.admit(&id, now), Ok(Admission::Duplicate));
    assert!(table.start(&id));
    assert_eq!(table.admit(&id, now), Ok(Admission::Duplicate));
    table.finish(&id, Outcome::Ran);
    assert_eq!(table.admit(&id, now), Ok(Admission::Duplicate));
    assert!(!table.start(&id));
}

#[test]
fn invalid_ids_are_rejected() {
    let now = Instant::now();
    let mut table = new_table();
    let id = table.reserve(1, now, || 5).expect("room").remove(0);
    let cases = [
        (
            "guessed secret",
            ReservedId {
                secret: 6,
                ..id.clone()
            },
            Outcome::NotRun,
        ),
        (
            "never issued",
            ReservedId {
                number: 9,
                ..id.clone()
            },
            Outcome::NotRun,
        ),
        (
            "issued by an earlier process",
            ReservedId {
                incarnation: 6,
                ..id.clone()
            },
            Outcome::MayHaveRun,
        ),
    ];
    for (case, id, outcome) in cases {
        let error = table.admit(&id, now).expect_err(case);
        assert_eq!(error.outcome(), outcome, "{case}");
    }
}

#[test]
fn an_unused_id_expires_and_an_evicted_id_may_have_run() {
    let now = Instant::now();
    let mut table = new_table();
    let ids = table.reserve(CAPACITY as u32, now, || 5).expect("room");
    assert!(table.reserve(1, now, || 5).is_err());
    let later = now + VALID_FOR;
    assert_eq!(
        table.admit(&ids[1], later).expect_err("expired").outcome(),
        Outcome::NotRun
    );
    table
        .reserve(1, later, || 5)
        .expect("the oldest id is evicted");
    let evicted = table.admit(&ids[0], later).expect_err("evicted");
    assert_eq!(evicted.outcome(), Outcome::MayHaveRun);
}
