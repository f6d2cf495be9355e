//! who hears whom in a large fleet

use {
    chalkcart_coordination::relay::{
        DirectCallPacing, PublishedCache, RelayCandidate, RelayPacing, RelaySelector, RelayState,
        RELAYS_PER_ZONE,
    },
    chalkcart_protocol::peer::{
        AdapterDemand, AdapterUse, EngineCapacity, EngineDemand, EngineStats, EngineView,
        EngineViewState, PublishedResponse, RelayDemands, RelayUpdate, WantedAdapter,
    },
    chalkcart_state::{
        backends::{AdapterRef, Backend, HeldAdapter},
        published::{Record, Snapshot},
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

const SEED: u64 = 25;
const STALE_AFTER: Duration = Duration::from_millis(1_200);

fn addr(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn adapter(name: &str) -> AdapterRef {
    AdapterRef {
        model: "m".to_string(),
        adapter: name.to_string(),
    }
}

/// ten engines in each of three zones
fn candidates() -> Vec<RelayCandidate> {
    let of = |number: u8| RelayCandidate {
        engine: addr(number),
        zone: format!("z{}", number % 3),
    };
    (0..30).map(of).collect()
}

fn choices(zone: &str) -> Vec<RelaySelector> {
    let of = |n| RelaySelector::new(&format!("entry-{n}"), &zone.to_string());
    (0..20).map(of).collect()
}

#[test]
fn the_entries_of_a_zone_use_few_relays_all_of_their_own_zone() {
    let now = Instant::now();
    for zone in ["z0", "z1", "z2"] {
        let chosen = choices(zone)
            .iter_mut()
            .map(|choice| choice.select(&candidates(), None, now).expect("a relay"))
            .collect::<HashSet<SocketAddr>>();
        assert_eq!(chosen.len(), RELAYS_PER_ZONE);
        let own = candidates().into_iter().filter(|c| c.zone == zone);
        let own: HashSet<SocketAddr> = own.map(|c| c.engine).collect();
        assert!(chosen.is_subset(&own), "{chosen:?}");
    }
}

#[test]
fn an_entry_leaves_a_relay_that_failed_and_comes_back_after_its_rest() {
    let mut now = Instant::now();
    let mut choice = RelaySelector::new(&"entry-1".to_string(), &"z1".to_string());
    let first = choice.select(&candidates(), None, now).expect("a relay");
    choice.on_failure(first, now);
    let second = choice.select(&candidates(), None, now).expect("a relay");
    assert_ne!(first, second);
    let present = Some(second);
    assert_eq!(choice.select(&candidates(), present, now), present, "kept");
    now += Duration::from_secs(6);
    assert_eq!(choice.select(&candidates(), None, now), Some(first));
}

#[test]
fn the_entries_of_a_zone_have_one_reader_of_the_store_and_leave_one_that_failed() {
    let (now, candidates) = (Instant::now(), candidates());
    let mut choices = choices("z1");
    let readers = choices
        .iter_mut()
        .map(|c| c.select_store_reader(&candidates, now));
    let readers: HashSet<SocketAddr> = readers.map(|r| r.expect("a reader")).collect();
    assert_eq!(readers.len(), 1, "{readers:?}");
    let reader = *readers.iter().next().expect("a reader");
    let own = candidates.iter().find(|c| c.engine == reader);
    assert_eq!(own.map(|c| c.zone.as_str()), Some("z1"));
    // it is one of those by which views are heard
    let relays: HashSet<SocketAddr> = choices
        .iter_mut()
        .filter_map(|c| c.select(&candidates, None, now))
        .collect();
    assert!(relays.contains(&reader), "{relays:?}");
    choices[0].on_failure(reader, now);
    assert_ne!(
        choices[0].select_store_reader(&candidates, now),
        Some(reader)
    );
    assert_eq!(choices[0].select_store_reader(&[], now), None);
}

#[test]
fn an_entry_always_finds_a_relay_while_any_engine_is_listed() {
    let now = Instant::now();
    let mut choice = RelaySelector::new(&"entry-1".to_string(), &"z1".to_string());
    let mut tried = HashSet::new();
    for step in 0..30 {
        let at = now + Duration::from_millis(step);
        let chosen = choice.select(&candidates(), None, at).expect("a relay");
        assert!(tried.insert(chosen), "each is tried before any is again");
        choice.on_failure(chosen, at);
    }
    let later = now + Duration::from_millis(40);
    assert!(choice.select(&candidates(), None, later).is_some());
    assert_eq!(choice.select(&[], None, later), None);
}

fn demand(entry: &str, adapter_name: &str) -> AdapterDemand {
    AdapterDemand {
        entry: entry.to_string(),
        entries: 1,
        backend: "b".into(),
        list_version: 1,
        fence_seen: 7,
        health_path: "/health".to_string(),
        room: EngineCapacity::default(),
        wanted: vec![WantedAdapter {
            adapter: adapter(adapter_name),
            waiting: 2,
            priority: 1,
            waited_ms: 10,
        }],
        used: vec![AdapterUse {
            adapter: adapter("hot"),
            in_flight: 3,
        }],
        outdated: Vec::new(),
    }
}

fn whole(entry: &str, adapter_name: &str) -> RelayDemands {
    RelayDemands {
        entry: entry.to_string(),
        is_whole: true,
        engines: vec![EngineDemand {
            engine: addr(1),
            demand: Some(demand(entry, adapter_name)),
        }],
    }
}

#[test]
fn a_relay_says_what_all_its_entries_need_as_one() {
    let now = Instant::now();
    let mut book = RelayState::new("relay".to_string());
    assert!(book.on_demands(whole("e1", "a"), now), "one more engine");
    assert!(!book.on_demands(whole("e2", "a"), now));
    let told = book.take_due_demands();
    let (engine, merged) = &told[0];
    assert_eq!((*engine, told.len()), (addr(1), 1));
    assert_eq!((merged.entry.as_str(), merged.entries), ("relay", 2));
    assert_eq!(merged.wanted[0].waiting, 4);
    assert_eq!(merged.used[0].in_flight, 6);
    assert_eq!(merged.fence_seen, 7);
    assert!(book.take_due_demands().is_empty(), "told once");
}

#[test]
fn what_a_silent_entry_needed_is_forgotten() {
    let now = Instant::now();
    let mut book = RelayState::new("relay".to_string());
    book.on_demands(whole("e1", "a"), now);
    book.on_demands(whole("e2", "a"), now + Duration::from_secs(2));
    assert!(
        !book.expire(now + Duration::from_secs(3)),
        "e2 needs it still"
    );
    assert_eq!(book.take_due_demands()[0].1.entries, 1);
    assert!(book.expire(now + Duration::from_secs(5)));
    assert_eq!(book.engines().count(), 0);
}

#[test]
fn readers_hear_that_an_engine_is_followed_no_more() {
    let now = Instant::now();
    let mut book = RelayState::new("relay".to_string());
    book.on_demands(whole("e1", "a"), now);
    book.on_view(addr(1), view(&[1]), now);
    let mut reader = Reader::default();
    reader.take_in(book.take_update(now));
    assert_eq!(reader.0.len(), 1);
    let mut without = whole("e1", "a");
    without.is_whole = false;
    without.engines[0].demand = None;
    assert!(book.on_demands(without, now), "one engine less");
    reader.take_in(book.take_update(now));
    assert!(
        reader.0.is_empty(),
        "nothing is kept for an engine that left"
    );
}

/// what happens to a relay
#[derive(Debug, Clone)]
enum Heard {
    View(u8, Vec<u8>),
    Figures(u8, u32),
    Silent(u8),
    Told,
}

impl Arbitrary for Heard {
    fn arbitrary(g: &mut Gen) -> Self {
        let engine = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 5 {
            0 | 1 => Self::View(engine, Vec::arbitrary(g)),
            2 => Self::Figures(engine, u32::arbitrary(g) % 9),
            3 => Self::Silent(engine),
            _ => Self::Told,
        }
    }
}

fn view(held: &[u8]) -> EngineView {
    let names: HashSet<u8> = held.iter().map(|n| n % 7).collect();
    let held = names.into_iter().map(|n| HeldAdapter {
        adapter: adapter(&n.to_string()),
        version: 1,
    });
    let mut held: Vec<HeldAdapter> = held.collect();
    held.sort_by(|a, b| a.adapter.cmp(&b.adapter));
    EngineView {
        backend: "b".into(),
        held,
        ..EngineView::default()
    }
}

/// what an entry knows that reads a relay's messages
#[derive(Debug, Default, PartialEq)]
struct Reader(BTreeMap<SocketAddr, EngineView>);

impl Reader {
    fn take_in(&mut self, update: RelayUpdate) {
        for news in update.news {
            match news.word {
                EngineViewState::Unknown => panic!("of no build"),
                EngineViewState::Silent => {
                    self.0.remove(&news.engine);
                }
                EngineViewState::View(update) => {
                    let view = self.0.entry(news.engine).or_default();
                    view.apply(update);
                    view.lately.clear();
                }
            }
        }
    }
}

/// a reader that came late, one that heard all, and the sidecars agree
fn readers_agree(story: Vec<Heard>, late_at: usize) -> bool {
    let now = Instant::now();
    let mut book = RelayState::new("relay".to_string());
    for engine in 0..3 {
        let mut message = whole("e", "a");
        message.is_whole = false;
        message.engines[0].engine = addr(engine);
        book.on_demands(message, now);
    }
    let mut truth = Reader::default();
    let (mut early, mut late) = (Reader::default(), None);
    for (step, heard) in story.into_iter().enumerate() {
        if step == late_at % 20 {
            late = Some(Reader::default());
            late.as_mut()
                .expect("it is there")
                .take_in(book.full_update(now));
        }
        match heard {
            Heard::View(engine, held) => {
                truth.0.insert(addr(engine), view(&held));
                book.on_view(addr(engine), view(&held), now);
            }
            Heard::Figures(engine, running) => {
                let figures = EngineStats {
                    running,
                    ..EngineStats::default()
                };
                if let Some(view) = truth.0.get_mut(&addr(engine)) {
                    view.figures = figures;
                }
                book.on_stats(addr(engine), &"b".into(), figures, now);
            }
            Heard::Silent(engine) => {
                truth.0.remove(&addr(engine));
                book.on_unresponsive(addr(engine), now);
            }
            Heard::Told => {
                let update = book.take_update(now);
                early.take_in(update.clone());
                late.iter_mut().for_each(|l| l.take_in(update.clone()));
            }
        }
    }
    let update = book.take_update(now);
    early.take_in(update.clone());
    late.iter_mut().for_each(|l| l.take_in(update.clone()));
    early == truth && late.is_none_or(|late| late == truth)
}

#[test]
fn readers_know_what_the_sidecars_said_last() {
    let rng = Gen::from_size_and_seed(60, SEED);
    QuickCheck::new()
        .rng(rng)
        .quickcheck(readers_agree as fn(Vec<Heard>, usize) -> bool);
}

fn listed(id: &str) -> Record {
    Record::Backend(Backend {
        id: id.into(),
        service: "s".to_string(),
        addr: addr(1),
        zone: "z".to_string(),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        models: Vec::new(),
        held: Vec::new(),
    })
}

fn snapshot(at: u64, records: Vec<Record>) -> Snapshot {
    Snapshot { records, at }
}

/// an answer that was current when it was asked for
fn current(snapshot: Snapshot) -> PublishedResponse {
    let current_ms = 0;
    PublishedResponse::Records {
        snapshot,
        current_ms,
    }
}

#[test]
fn a_relay_tells_the_store_as_it_heard_it_and_only_while_it_hears_it() {
    let now = Instant::now();
    let mut book = PublishedCache::new(STALE_AFTER);
    assert_eq!(
        book.response(None, now, now),
        Some(PublishedResponse::Stale)
    );
    book.apply(snapshot(5, vec![listed("a"), listed("b")]), true, now, now);
    let all = current(snapshot(5, vec![listed("a"), listed("b")]));
    assert_eq!(book.response(None, now, now), Some(all));
    assert_eq!(book.response(Some(5), now, now), None, "nothing newer");
    // a later whole lacks one that is known, and an older answer says nothing
    book.apply(snapshot(9, vec![listed("a")]), true, now, now);
    book.apply(snapshot(7, vec![listed("c")]), false, now, now);
    let lost = Some(PublishedResponse::HistoryLost);
    assert_eq!(
        book.response(Some(5), now, now),
        lost,
        "all must be asked for"
    );
    let all = current(snapshot(9, vec![listed("a")]));
    assert_eq!(book.response(None, now, now), Some(all));
    let gone = Record::BackendGone("a".to_string());
    book.apply(snapshot(10, vec![gone.clone()]), false, now, now);
    let gone = current(snapshot(10, vec![gone]));
    assert_eq!(book.response(Some(9), now, now), Some(gone));
    let nothing = current(snapshot(12, Vec::new()));
    assert_eq!(book.empty_response(Some(12), now), nothing, "never back");
    let later = now + Duration::from_secs(2);
    assert_eq!(
        book.response(Some(10), later, later),
        Some(PublishedResponse::Stale)
    );
}

/// Pages of a whole are no snapshot: a later page may have a change that came after
/// the first. An entry that knows all up to the first page has not heard it.
#[test]
fn a_change_that_came_between_two_pages_is_told_when_it_is_heard_again() {
    let now = Instant::now();
    let mut book = PublishedCache::new(STALE_AFTER);
    let leaving = match listed("b") {
        Record::Backend(backend) => Record::Backend(Backend {
            leaving: true,
            ..backend
        }),
        other => other,
    };
    book.apply(
        snapshot(5, vec![listed("a"), leaving.clone()]),
        true,
        now,
        now,
    );
    book.apply(snapshot(6, vec![leaving.clone()]), false, now, now);
    let told = current(snapshot(6, vec![leaving]));
    assert_eq!(book.response(Some(5), now, now), Some(told));
}

/// it has not heard what left the list before it began
#[test]
fn a_relay_that_begins_tells_all_to_who_knows_an_earlier_revision() {
    let now = Instant::now();
    let mut book = PublishedCache::new(STALE_AFTER);
    book.apply(snapshot(888, vec![listed("a")]), true, now, now);
    let lost = Some(PublishedResponse::HistoryLost);
    assert_eq!(book.response(Some(847), now, now), lost);
    assert_eq!(book.response(Some(888), now, now), None);
    book.apply(snapshot(890, vec![listed("c")]), false, now, now);
    let newer = current(snapshot(890, vec![listed("c")]));
    assert_eq!(book.response(Some(888), now, now), Some(newer));
}

#[test]
fn an_earlier_state_of_the_store_is_no_sign_that_it_is_heard() {
    let now = Instant::now();
    let mut book = PublishedCache::new(STALE_AFTER);
    book.apply(snapshot(9, vec![listed("a")]), true, now, now);
    let later = now + STALE_AFTER + Duration::from_millis(1);
    book.apply(snapshot(7, vec![listed("b")]), true, later, later);
    assert_eq!(
        book.response(Some(9), later, later),
        Some(PublishedResponse::Stale)
    );
}

#[test]
fn an_entry_whose_call_failed_leaves_the_store_to_its_relay_for_a_while() {
    let propagation_limit = Duration::from_millis(2_000);
    let pacing = RelayPacing { propagation_limit };
    let mut calls = DirectCallPacing::new(pacing.direct_call_pause());
    let now = Instant::now();
    assert!(calls.may_call(now));
    calls.on_failure(now);
    assert!(!calls.may_call(now + Duration::from_millis(400)));
    assert!(calls.may_call(now + Duration::from_millis(500)));
    calls.on_success();
    assert!(calls.may_call(now));
    let known_after = pacing.stale_after() + pacing.direct_call_pause();
    assert!(known_after < propagation_limit, "a change is known in time");
}

#[test]
fn what_a_relay_has_forgotten_must_be_asked_for_whole() {
    let now = Instant::now();
    let mut book = PublishedCache::new(STALE_AFTER);
    for at in 1..=2_001 {
        let gone = Record::BackendGone(format!("b{at}"));
        book.apply(snapshot(at, vec![gone]), false, now, now);
    }
    assert_eq!(
        book.response(Some(1), now, now),
        Some(PublishedResponse::HistoryLost)
    );
    assert!(book
        .response(Some(2_000), now, now)
        .is_some_and(|a| a != PublishedResponse::HistoryLost));
}

/// an entry that asks for changes, and a zone that is no longer in the whole
#[test]
fn a_relay_tells_which_zones_are_to_be_emptied_and_when_that_is_over() {
    let now = Instant::now();
    let zone = |is_evacuated| Record::Zone {
        zone: "y".to_string(),
        is_evacuated,
    };
    let told = |book: &PublishedCache, after| match book.response(after, now, now) {
        Some(PublishedResponse::Records { snapshot, .. }) => snapshot.records,
        other => panic!("{other:?}"),
    };
    let mut book = PublishedCache::new(STALE_AFTER);
    book.apply(snapshot(1, Vec::new()), true, now, now);
    book.apply(snapshot(2, vec![zone(true)]), false, now, now);
    assert_eq!(told(&book, Some(1)), [zone(true)]);
    assert_eq!(told(&book, None), [zone(true)]);
    book.apply(snapshot(3, Vec::new()), true, now, now);
    assert_eq!(
        book.response(Some(2), now, now),
        Some(PublishedResponse::HistoryLost),
        "what went is not known here: all must be asked for"
    );
    assert_eq!(told(&book, None), [zone(false)]);
}

#[test]
fn a_relay_that_lost_the_store_is_found_out_before_a_change_must_be_known() {
    for propagation_limit in [500, 2_000, 3_000, 4_000].map(Duration::from_millis) {
        let pacing = RelayPacing { propagation_limit };
        let calm = pacing.watch_wait() + pacing.pause_after_change();
        assert!(calm < pacing.stale_after(), "a sound relay is never stale");
        assert!(pacing.stale_after() < propagation_limit.mul_f64(0.7));
    }
}
