//! Routing and homes where the engines of a service differ in speed.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        backend_performance::EnginePerformance,
        dispatch::{Decision, DispatchEvent, DispatchRequest, SendOutcome, Ticket},
    },
    chalkcart_protocol::peer::EngineView,
    chalkcart_state::backends::Backend,
    dispatch_fixture::*,
    rand::{rngs::StdRng, RngExt, SeedableRng},
    std::{collections::BTreeMap, time::Duration},
};

/// event interval and prefill rate of an engine of relative time 1
const EVENT_US: f64 = 31_500.0;
const PREFILL_PER_S: f64 = 19_200.0;
/// time after which a change of the medians of a service is known
const MEDIANS_KNOWN: Duration = Duration::from_millis(500);
/// adapters whose homes are compared
const ADAPTERS: u32 = 600;

/// Adds the figures of an engine of this relative time to its view.
fn with_performance(mut view: EngineView, relative_time: f64) -> EngineView {
    view.figures.event_interval_us = Some((EVENT_US * relative_time) as u32);
    view.figures.prefill_tokens_per_s = Some((PREFILL_PER_S / relative_time) as u32);
    view
}

fn name(number: u8) -> String {
    format!("{ENGINES}-{number}")
}

/// Returns a fixture with engines of these relative times, which hold these adapters.
fn fixture_with_times(relative_times: &[f64], held: &[(&str, u64)]) -> Fixture {
    let numbers = 1..=relative_times.len() as u8;
    let list = numbers.clone().map(|number| Backend {
        slots: 64,
        ..backend(ENGINES, number)
    });
    let mut fixture = Fixture::new(list.collect());
    for (number, time) in numbers.zip(relative_times) {
        fixture.view(number, with_performance(view(&name(number), held), *time));
    }
    fixture
}

/// Returns the figures of each engine as the entry uses them.
fn performances(fixture: &mut Fixture) -> Vec<Option<EnginePerformance>> {
    fixture.advance(MEDIANS_KNOWN);
    let summaries = fixture.dispatcher.backend_summaries(fixture.now);
    summaries.into_iter().map(|s| s.performance).collect()
}

fn intervals(fixture: &mut Fixture) -> Vec<Option<f64>> {
    let known = performances(fixture).into_iter();
    known.map(|p| p.map(|p| p.event_interval_ms)).collect()
}

/// Returns the home of each adapter, by engine number.
fn homes_of(fixture: &mut Fixture, adapters: u32) -> BTreeMap<u32, String> {
    let homes = (0..adapters).map(|number| {
        let wanted = format!("a{number}");
        let ticket = Ticket::from(number);
        let request = fixture.new_request(ENGINES, Some(&wanted));
        fixture.submit(ticket, request);
        let homes = fixture.homes(&wanted);
        assert_eq!(homes.len(), 1, "{wanted}: {homes:?}");
        fixture.handle(DispatchEvent::RequestWithdrawn(ticket));
        (number, homes[0].clone())
    });
    homes.collect()
}

/// Load U: a third of the engines at 1.7, the others at 0.7.
fn engines_of_u() -> Vec<f64> {
    let times = [0.7, 0.7, 1.7].iter().cycle();
    times.take(38).copied().collect()
}

#[test]
fn engines_are_homes_in_proportion_to_their_rate() {
    // guards against load U: slow engines get as many adapters, and so sends, as fast ones
    let times = engines_of_u();
    let mut fixture = fixture_with_times(&times, &[]);
    let homes = homes_of(&mut fixture, 2 * ADAPTERS);
    let (mut fast, mut slow) = (0.0, 0.0);
    for home in homes.values() {
        let number: usize = home.trim_start_matches("engines-").parse().unwrap();
        match times[number - 1] > 1.0 {
            true => slow += 1.0,
            false => fast += 1.0,
        }
    }
    let (fast, slow) = (fast / 26.0, slow / 12.0);
    let ratio: f64 = slow / fast;
    assert!((ratio - 11.0 / 27.0).abs() < 0.08, "{slow} to {fast}");
}

#[test]
fn an_engine_that_becomes_slow_moves_only_its_own_adapters() {
    // guards against entries that see a change at different times and disagree on all homes
    let mut times = engines_of_u();
    let before = homes_of(&mut fixture_with_times(&times, &[]), ADAPTERS);
    times[0] *= 3.5;
    let after = homes_of(&mut fixture_with_times(&times, &[]), ADAPTERS);
    let mut moved = 0;
    for (adapter, home) in &before {
        if after[adapter] != *home {
            assert_eq!(*home, name(1), "{adapter}");
            moved += 1;
        }
    }
    assert!(moved > 0);
}

#[test]
fn homes_follow_a_slow_engine_but_not_a_short_slow_phase() {
    // guards against homes that move with each slow phase of 600 ms, or never
    let homes_after = |phases: &[(f64, u32)]| {
        let mut fixture = fixture_with_times(&[1.0; 3], &[]);
        for (time, ticks) in phases {
            for _ in 0..*ticks {
                for (number, time) in (1..=3).zip([*time, 1.0, 1.0]) {
                    fixture.view(number, with_performance(view(&name(number), &[]), time));
                }
                fixture.advance(ms(100));
            }
        }
        let homes = homes_of(&mut fixture, 90);
        homes.values().filter(|home| **home == name(1)).count()
    };
    let equal = homes_after(&[(1.0, 20)]);
    assert_eq!(homes_after(&[(1.0, 20), (2.5, 6)]), equal);
    let slow = homes_after(&[(1.0, 20), (3.5, 25)]);
    assert!(slow * 2 < equal, "{slow} after {equal}");
    assert_eq!(homes_after(&[(1.0, 20), (3.5, 25), (1.0, 25)]), equal);
}

#[test]
fn entries_with_slightly_different_figures_agree_on_homes() {
    // guards against a cold load at each of several engines while figures change by a step
    let times = engines_of_u();
    let homes = homes_of(&mut fixture_with_times(&times, &[]), ADAPTERS);
    // one step of the published figures, at every `nth` of the fast engines
    let homes_with_steps = |nth: usize| {
        let near = times.iter().enumerate();
        let near = near.map(|(number, time)| match *time > 1.0 || number % nth != 0 {
            true => *time,
            false => time * 1.05,
        });
        let near: Vec<f64> = near.collect();
        homes_of(&mut fixture_with_times(&near, &[]), ADAPTERS)
    };
    assert_eq!(homes, homes_with_steps(4));
    // the median moves too, and with it the weight of the slow engines by one step
    let near = homes_with_steps(1);
    let same = homes.iter().filter(|(a, home)| near[a] == **home).count();
    assert!(same * 100 >= homes.len() * 97, "{same} of {ADAPTERS}");
}

/// One step of a random sequence of events at an entry.
fn random_event(
    rng: &mut StdRng,
    fixture: &mut Fixture,
    ticket: Ticket,
    times: [f64; 3],
) -> String {
    let number = rng.random_range(1..=3u8);
    let time = times[usize::from(number) - 1];
    let decided = match rng.random_range(0..6) {
        0..3 => {
            let wanted = format!("a{}", rng.random_range(0..8));
            let request = DispatchRequest {
                prompt_tokens: rng.random_range(10..6_000),
                ..fixture.new_request(ENGINES, Some(&wanted))
            };
            fixture.submit(ticket, request)
        }
        3 => {
            let held: Vec<String> = (0..3)
                .map(|_| format!("a{}", rng.random_range(0..8)))
                .collect();
            let held: Vec<(&str, u64)> = held.iter().map(|a| (a.as_str(), 1)).collect();
            let mut view = view(&name(number), &held);
            view.figures.running = rng.random_range(0..3);
            view.figures.reading = rng.random_range(0..4);
            view.figures.next_load_ms = rng.random_range(100..600);
            if time > 0.0 {
                view = with_performance(view, time);
            }
            fixture.view(number, view)
        }
        4 => {
            let ended = rng.random_range(0..=ticket);
            fixture.handle(DispatchEvent::ResponseStarted(ended));
            let outcome = SendOutcome::Answered;
            fixture.handle(DispatchEvent::SendEnded {
                ticket: ended,
                outcome,
            })
        }
        _ => fixture.advance(ms(rng.random_range(1..150))),
    };
    let homes: Vec<Vec<String>> = (0..8).map(|n| fixture.homes(&format!("a{n}"))).collect();
    format!("{decided:?} {homes:?}")
}

/// Returns the decisions after random events; `time` is the relative time of the three engines,
/// 0 for none reported.
fn decisions(seed: u64, times: [f64; 3], is_switched_off: bool) -> Vec<String> {
    let mut fixture = Fixture::new(engines());
    fixture.update_settings(|s| s.features.engine_performance = !is_switched_off);
    let mut rng = StdRng::seed_from_u64(seed);
    let steps = (1..=80).map(|ticket| random_event(&mut rng, &mut fixture, ticket, times));
    steps.collect()
}

#[test]
fn equal_engines_are_chosen_as_without_figures() {
    // guards against any change of earlier deployments, whose engines are equal
    for seed in 0..100 {
        let without = decisions(seed, [0.0; 3], false);
        for time in [0.7, 1.0, 1.7] {
            assert_eq!(without, decisions(seed, [time; 3], false), "seed {seed}");
        }
    }
}

#[test]
fn unequal_engines_are_chosen_as_without_figures_while_switched_off() {
    // guards against a switch that leaves a part of the mechanism on
    let mut differing = 0;
    for seed in 0..60 {
        let times = [0.7, 1.0, 2.4];
        let without = decisions(seed, [0.0; 3], false);
        assert_eq!(without, decisions(seed, times, true), "seed {seed}");
        differing += u32::from(without != decisions(seed, times, false));
    }
    assert!(
        differing > 30,
        "the events reach the mechanism: {differing}"
    );
}

fn sent(decisions: &[(Ticket, Decision)]) -> (String, u8) {
    match &decisions[0].1 {
        Decision::Send(assignment) => (assignment.backend.to_string(), assignment.urgency),
        other => panic!("{other:?}"),
    }
}

#[test]
fn of_equal_queues_the_one_at_the_faster_engine_is_chosen() {
    // guards against a wait that is computed with one rate for all engines
    for slow in 1..=3u8 {
        let mut times = [1.0; 3];
        times[usize::from(slow) - 1] = 3.5;
        let mut fixture = fixture_with_times(&times, &[("a", 1)]);
        for (number, time) in (1..=3).zip(times) {
            let mut loaded = with_performance(view(&name(number), &[("a", 1)]), time);
            // the slow engine has a little less to do
            let waiting = if number == slow { 2 } else { 3 };
            (loaded.figures.reading, loaded.figures.running) = (waiting, 20);
            fixture.view(number, loaded);
        }
        let request = fixture.new_request(ENGINES, Some("a"));
        let (chosen, _) = sent(&fixture.submit(1, request));
        assert_ne!(chosen, name(slow));
    }
}

#[test]
fn crowding_counts_more_at_a_slow_engine() {
    // guards against a cost of running streams that ignores how long their pauses are
    let mut fixture = fixture_with_times(&[1.0, 1.0, 3.5], &[]);
    for (number, time, running) in [(1, 1.0, 40), (3, 3.5, 34)] {
        let mut loaded = with_performance(view(&name(number), &[("a", 1)]), time);
        loaded.figures.running = running;
        fixture.view(number, loaded);
    }
    let request = fixture.new_request(ENGINES, Some("a"));
    let (chosen, _) = sent(&fixture.submit(1, request));
    assert_eq!(chosen, name(1));
}

#[test]
fn prompts_at_a_slow_engine_do_not_lower_the_rate_of_the_others() {
    // guards against a service's rate that depends on which engines an entry happened to use
    let mut fixture = fixture_with_times(&[1.0, 1.0, 2.0], &[]);
    let held = with_performance(view(&name(3), &[("a", 1)]), 2.0);
    fixture.view(3, held);
    let mut prefill = |ticket: Ticket| {
        let request = DispatchRequest {
            prompt_tokens: 1_600,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        let decided = fixture.submit(ticket, request);
        assert_eq!(sent(&decided).0, name(3));
        // 16 tokens a ms, the default of the median engine, are 200 ms there
        fixture.now += ms(200);
        fixture.handle(DispatchEvent::ResponseStarted(ticket));
        fixture.end(ticket, SendOutcome::Answered);
    };
    (1..=10).for_each(&mut prefill);
    // an engine without a prefill rate of its own has that of the service
    let mut partial = with_performance(view(&name(1), &[]), 1.0);
    partial.figures.prefill_tokens_per_s = None;
    fixture.view(1, partial);
    let known = performances(&mut fixture)[0].expect("known");
    assert!(
        (14.0..18.0).contains(&known.prefill_tokens_per_ms),
        "{known:?}"
    );
}

#[test]
fn the_urgency_of_a_prompt_follows_the_engine_that_runs_it() {
    // guards against a prompt that can't be in time at a slow engine displacing others there
    let urgency = |times: &[f64]| {
        let mut fixture = fixture_with_times(times, &[]);
        // only the last engine holds the adapter
        let last = times.len() as u8;
        let held = view(&name(last), &[("a", 1)]);
        fixture.view(last, with_performance(held, times[times.len() - 1]));
        let request = DispatchRequest {
            prompt_tokens: 3_000,
            ..fixture.new_request(ENGINES, Some("a"))
        };
        sent(&fixture.submit(1, request)).1
    };
    assert!(urgency(&[1.0, 1.0, 3.5]) > urgency(&[1.0, 1.0, 1.0]));
}

#[test]
fn an_engine_without_figures_counts_as_the_median() {
    // guards against an older sidecar or relay, whose engine would count as unknown or as fast
    let mut fixture = fixture_with_times(&[0.7, 1.0, 1.7], &[]);
    fixture.view(3, view(&name(3), &[]));
    // the lower median of the two that report
    assert_eq!(
        intervals(&mut fixture),
        [Some(22.05), Some(31.5), Some(22.05)]
    );
    for number in 1..=2 {
        fixture.view(number, view(&name(number), &[]));
    }
    assert_eq!(performances(&mut fixture), [None; 3], "none reports any");
}

#[test]
fn an_engine_that_reports_no_prefill_rate_is_assumed_to_be_as_slow_in_it() {
    // guards against a missing rate that hides the known event interval
    let mut fixture = fixture_with_times(&[1.0; 3], &[]);
    for (number, time) in (1..=3).zip([1.0, 1.0, 2.0]) {
        let mut partial = with_performance(view(&name(number), &[]), time);
        partial.figures.prefill_tokens_per_s = None;
        fixture.view(number, partial);
    }
    let known = performances(&mut fixture);
    let rate = |nth: usize| known[nth].expect("known").prefill_tokens_per_ms;
    assert_eq!(known[2].expect("known").event_interval_ms, 63.0);
    let ratio: f64 = rate(2) / rate(0);
    assert!((0.45..=0.55).contains(&ratio), "{ratio}");
}

#[test]
fn the_figures_of_a_lost_view_are_not_used() {
    // guards against routing by figures that nobody updates any more
    let mut fixture = fixture_with_times(&[1.0, 1.0, 3.5], &[]);
    assert_eq!(intervals(&mut fixture)[2], Some(110.25));
    fixture.handle(DispatchEvent::ViewLost(name(3).as_str().into()));
    assert_eq!(intervals(&mut fixture)[2], Some(31.5));
}

#[test]
fn the_figures_of_an_old_view_are_not_used() {
    // guards against a link that stays open but delivers nothing
    let mut fixture = fixture_with_times(&[1.0, 1.0, 3.5], &[]);
    for _ in 0..10 {
        fixture.advance(ms(500));
        for number in 1..=2 {
            fixture.view(number, with_performance(view(&name(number), &[]), 1.0));
        }
    }
    assert_eq!(intervals(&mut fixture)[2], Some(31.5));
    // a view that was old when a relay forwarded it
    let mut old = with_performance(view(&name(3), &[]), 3.5);
    old.figures.age_ms = 5_000;
    fixture.view(3, old);
    assert_eq!(intervals(&mut fixture)[2], Some(31.5));
}

#[test]
fn the_figures_of_an_incarnation_end_with_it() {
    // guards against an engine that restarts and is judged by what it was
    let mut fixture = fixture_with_times(&[1.0, 1.0, 3.5], &[]);
    assert_eq!(intervals(&mut fixture)[2], Some(110.25));
    let mut list = engines();
    list[2].id = "engines-3b".into();
    fixture.update_list(list);
    fixture.view(3, view("engines-3b", &[]));
    let summaries = {
        fixture.advance(MEDIANS_KNOWN);
        fixture.dispatcher.backend_summaries(fixture.now)
    };
    let new = summaries.iter().find(|s| s.id == "engines-3b");
    let known = new.and_then(|s| s.performance).expect("the median");
    assert_eq!(known.event_interval_ms, 31.5);
}

#[test]
fn changed_stats_alone_change_the_rate() {
    // guards against figures that take effect only with the next full view
    let mut fixture = fixture_with_times(&[1.0; 3], &[]);
    let mut stats = with_performance(view(&name(3), &[]), 3.5).figures;
    stats.running = 1;
    let backend = name(3).as_str().into();
    fixture.handle(DispatchEvent::StatsReceived { backend, stats });
    assert_eq!(intervals(&mut fixture)[2], Some(110.25));
}
