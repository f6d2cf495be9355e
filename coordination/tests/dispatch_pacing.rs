//! Requests with a gap objective: where they go, when they wait for a turn, and when they are
//! rejected because of their deadline.

mod dispatch_fixture;

use {
    chalkcart_coordination::{
        dispatch::{Assignment, Decision, DispatchEvent, DispatchRequest, RejectionCause, Ticket},
        features::FeatureSwitches,
        stream_pacing::PacingOutcome,
    },
    chalkcart_protocol::peer::{EngineStats, EngineView},
    dispatch_fixture::*,
    std::time::Duration,
};

const SLOTS: u32 = 64;
const ADAPTER: &str = "a";

/// Relative times of the three engines.
type Speeds = [Option<f64>; 3];

fn stats(relative_time: Option<f64>, running: u32, prefill_tokens: u32) -> EngineStats {
    EngineStats {
        spare_slots: 2,
        entries: 1,
        is_down: Some(false),
        running,
        next_load_ms: 288,
        next_return_ms: 29,
        prefill_tokens_per_s: relative_time.map(|t| (19_200.0 / t) as u32),
        event_interval_us: relative_time.map(|t| (31_500.0 * t) as u32),
        prefill_tokens: relative_time.map(|_| prefill_tokens),
        ..EngineStats::default()
    }
}

fn engine_view(number: u8, holds: bool, stats: EngineStats) -> EngineView {
    let held: &[(&str, u64)] = if holds { &[(ADAPTER, 1)] } else { &[] };
    EngineView {
        figures: stats,
        ..view(&format!("{ENGINES}-{number}"), held)
    }
}

/// Three engines, each with `running` streams; those of `holders` hold the adapter.
fn fleet(speeds: Speeds, running: u32, holders: &[u8]) -> Fixture {
    let mut list = engines();
    list.iter_mut().for_each(|b| b.slots = SLOTS);
    let mut fixture = Fixture::new(list);
    for number in 1..=3_u8 {
        let stats = stats(speeds[usize::from(number) - 1], running, 0);
        fixture.view(
            number,
            engine_view(number, holders.contains(&number), stats),
        );
    }
    fixture
}

fn stream(fixture: &Fixture, prompt_tokens: u32) -> DispatchRequest {
    DispatchRequest {
        prompt_tokens,
        expected_output_tokens: 24,
        target_latency: ms(1_000),
        target_gap: Some(ms(400)),
        deadline: fixture.now + ms(5_000),
        ..fixture.new_request(ENGINES, Some(ADAPTER))
    }
}

fn assignment(decided: &[(Ticket, Decision)]) -> &Assignment {
    match decided {
        [(_, Decision::Send(assignment))] => assignment,
        other => panic!("one send expected: {other:?}"),
    }
}

fn outcome(decided: &[(Ticket, Decision)]) -> Option<PacingOutcome> {
    assignment(decided)
        .inputs
        .pacing
        .map(|pacing| pacing.outcome)
}

const NOMINAL: Option<f64> = Some(1.0);
const SLOW: Option<f64> = Some(1.7);

/// Guards against the measured fault: two prompts with more than two chunks at an engine 1.7 times
/// as slow as nominal make all its streams late.
#[test]
fn a_prompt_waits_for_its_turn_at_a_slow_single_holder() {
    let mut fixture = fleet([SLOW, SLOW, SLOW], 8, &[1]);
    let first = fixture.submit(1, stream(&fixture, 1_800));
    assert_eq!(outcome(&first), Some(PacingOutcome::Holds));
    fixture.advance(ms(20));
    let second = stream(&fixture, 1_800);
    assert_eq!(fixture.submit(2, second), []);
    let [(2, wait)] = &fixture.dispatcher.take_turn_waits()[..] else {
        panic!("the wait is reported");
    };
    assert_eq!(wait.inputs.outcome, PacingOutcome::Waits);
    assert_eq!(wait.until, fixture.now + ms(380));
    // a tick alone does not send it
    assert_eq!(fixture.advance(ms(200)), []);
    assert_eq!(fixture.dispatcher.take_turn_waits(), []);
    let sent = fixture.advance(ms(185));
    let pacing = assignment(&sent).inputs.pacing.expect("inputs");
    assert_eq!(pacing.outcome, PacingOutcome::Holds);
    assert_eq!(pacing.turn_waited, ms(385));
    assert_eq!(fixture.dispatcher.waiting_count(), 0);
}

/// Guards against turns that are only checked by ticks, which do not come while other events are
/// frequent.
#[test]
fn a_turn_comes_with_any_event() {
    let mut fixture = fleet([SLOW, SLOW, SLOW], 8, &[1]);
    fixture.submit(1, stream(&fixture, 3_000));
    assert_eq!(fixture.submit(2, stream(&fixture, 1_800)), []);
    let mut sent_after = None;
    for step in 1..=60 {
        fixture.now += ms(10);
        let backend = format!("{ENGINES}-2").as_str().into();
        let stats = stats(SLOW, 8, 0);
        let decided = fixture.handle(DispatchEvent::StatsReceived { backend, stats });
        if !decided.is_empty() {
            sent_after = Some(ms(10 * step));
            break;
        }
    }
    assert_eq!(sent_after, Some(ms(400)));
}

/// Guards against a wait that goes on although the engine's report shows a shorter queue, and
/// against one that ignores the prompts of other entries.
#[test]
fn reports_of_other_entries_prompts_move_a_turn() {
    let mut fixture = fleet([SLOW, SLOW, SLOW], 8, &[1]);
    let report = |fixture: &mut Fixture, pending| {
        let stats = stats(SLOW, 8, pending);
        let backend = format!("{ENGINES}-1").as_str().into();
        fixture.handle(DispatchEvent::StatsReceived { backend, stats })
    };
    fixture.now += ms(100);
    report(&mut fixture, 3_000);
    // the prompts of other entries fill the gap
    assert_eq!(fixture.submit(1, stream(&fixture, 1_800)), []);
    fixture.now += ms(200);
    assert_eq!(report(&mut fixture, 700), []);
    fixture.now += ms(201);
    assert_eq!(report(&mut fixture, 0).len(), 1);
}

/// Guards against sending a prompt to the cheapest engine although its streams become late there,
/// while another holder keeps all objectives.
#[test]
fn a_holder_where_all_objectives_hold_comes_first() {
    let mut fixture = fleet([SLOW, NOMINAL, SLOW], 8, &[1, 2]);
    // the nominal engine costs more: it has a queue
    fixture.now += ms(10);
    fixture.view(2, engine_view(2, true, stats(NOMINAL, 30, 4_000)));
    fixture.view(1, engine_view(1, true, stats(SLOW, 8, 3_400)));
    let sent = fixture.submit(1, stream(&fixture, 1_800));
    assert_eq!(sent_to(&sent), ["engines-2"]);
    assert_eq!(outcome(&sent), Some(PacingOutcome::Holds));
}

/// Guards against long streams on engines where each later prompt may pause them; the short one
/// shows that the cost alone decides for 8 events.
#[test]
fn long_streams_prefer_engines_that_need_no_protection() {
    let run = |output_tokens| {
        let mut fixture = fleet([SLOW, NOMINAL, SLOW], 0, &[1, 2]);
        fixture.now += ms(10);
        // 40 more streams cost less than 57 events that may pause
        fixture.view(2, engine_view(2, true, stats(NOMINAL, 16, 0)));
        let request = DispatchRequest {
            expected_output_tokens: output_tokens,
            deadline: fixture.now + ms(15_000),
            ..stream(&fixture, 1_110)
        };
        sent_to(&fixture.submit(1, request))
    };
    assert_eq!(run(24), ["engines-1"]);
    assert_eq!(run(171), ["engines-2"]);
}

/// Guards against a prompt that waits for a slow holder although an engine that had its adapter a
/// moment ago keeps all objectives.
#[test]
fn a_prompt_above_the_limit_of_its_only_holder_reloads_its_adapter_elsewhere() {
    let mut fixture = fleet([SLOW, NOMINAL, SLOW], 8, &[1, 2]);
    fixture.view(2, engine_view(2, false, stats(NOMINAL, 8, 0)));
    assert_eq!(fixture.submit(1, stream(&fixture, 6_000)), []);
    assert_eq!(fixture.homes(ADAPTER), ["engines-2"]);
    fixture.now += ms(30);
    let sent = fixture.view(2, engine_view(2, true, stats(NOMINAL, 8, 0)));
    assert_eq!(sent_to(&sent), ["engines-2"]);
}

/// Guards against rejections merely for pauses, and against waits beyond the objective.
#[test]
fn a_prompt_that_can_hold_nowhere_goes_where_the_least_is_lost() {
    let mut fixture = fleet([SLOW, SLOW, SLOW], 8, &[1, 2]);
    fixture.now += ms(10);
    fixture.view(1, engine_view(1, true, stats(SLOW, 40, 0)));
    fixture.view(2, engine_view(2, true, stats(SLOW, 3, 0)));
    let sent = fixture.submit(1, stream(&fixture, 6_800));
    assert_eq!(sent_to(&sent), ["engines-2"]);
    assert_eq!(outcome(&sent), Some(PacingOutcome::LeastLoss));
    // with the objective nearly over, a prompt that would fit later is sent
    let late = DispatchRequest {
        arrived_at: fixture.now - ms(700),
        ..stream(&fixture, 1_800)
    };
    fixture.submit(2, stream(&fixture, 3_000));
    let sent = fixture.submit(3, late);
    assert_eq!(outcome(&sent), Some(PacingOutcome::LeastLoss));
}

/// Guards against waits without an end: whatever the prompts are, each request is decided within
/// its objective.
#[test]
fn each_wait_for_a_turn_ends_within_the_objective() {
    let mut fixture = fleet([SLOW, SLOW, SLOW], 8, &[1]);
    let mut waiting = 0;
    for ticket in 0..40 {
        let request = stream(&fixture, 400 + 170 * ticket as u32);
        waiting += 1 - fixture.submit(ticket, request).len();
    }
    assert!(waiting > 10, "{waiting} wait");
    for _ in 0..40 {
        waiting -= fixture.advance(ms(25)).len();
    }
    assert_eq!((waiting, fixture.dispatcher.waiting_count()), (0, 0));
}

/// Guards against a request that is sent after its client left.
#[test]
fn a_withdrawn_request_has_no_turn() {
    let mut fixture = fleet([SLOW, SLOW, SLOW], 8, &[1]);
    fixture.submit(1, stream(&fixture, 3_000));
    assert_eq!(fixture.submit(2, stream(&fixture, 1_800)), []);
    fixture.handle(DispatchEvent::RequestWithdrawn(2));
    assert_eq!(fixture.advance(ms(900)), []);
}

fn rejection(decided: &[(Ticket, Decision)]) -> Option<(RejectionCause, Duration)> {
    match decided {
        [(
            _,
            Decision::Reject {
                cause, retry_after, ..
            },
        )] => Some((*cause, *retry_after)),
        _ => None,
    }
}

/// Guards against the measured fault that four in five streams not served ended at their
/// deadline while they ran.
#[test]
fn what_no_engine_can_complete_in_time_is_rejected_with_the_time_until_one_can() {
    let mut fixture = fleet([NOMINAL, NOMINAL, SLOW], 8, &[1]);
    fixture.now += ms(10);
    // 12.5, 12 and 17 s of queued prompts
    fixture.view(1, engine_view(1, true, stats(NOMINAL, 40, 240_000)));
    fixture.view(2, engine_view(2, false, stats(NOMINAL, 40, 230_400)));
    fixture.view(3, engine_view(3, false, stats(SLOW, 40, 192_000)));
    let decided = fixture.submit(1, stream(&fixture, 1_800));
    let (cause, retry_after) = rejection(&decided).expect("a rejection");
    assert_eq!(cause, RejectionCause::MissesDeadline);
    // 12 s of queue and 0.36 s of its own, less the 5 s that a new attempt has
    let expected = Duration::from_secs_f64(7.356);
    let difference = retry_after.abs_diff(expected);
    assert!(difference < ms(10), "{retry_after:?}");
    // 15 s are enough
    let longer = DispatchRequest {
        deadline: fixture.now + ms(15_000),
        ..stream(&fixture, 1_800)
    };
    assert_eq!(rejection(&fixture.submit(2, longer)), None);
    // no load is ordered for what is rejected
    let elsewhere = DispatchRequest {
        adapter: Some(adapter("b")),
        ..stream(&fixture, 1_800)
    };
    assert!(rejection(&fixture.submit(3, elsewhere)).is_some());
    assert!(fixture.homes("b").is_empty());
}

/// Guards against the rejection of a request that an engine without the adapter completes in
/// time: its load is part of the wait.
#[test]
fn an_engine_that_can_load_the_adapter_in_time_prevents_the_rejection() {
    let mut fixture = fleet([NOMINAL, NOMINAL, NOMINAL], 8, &[1]);
    fixture.now += ms(10);
    fixture.view(1, engine_view(1, true, stats(NOMINAL, 40, 192_000)));
    fixture.view(3, engine_view(3, false, stats(NOMINAL, 40, 192_000)));
    assert_eq!(rejection(&fixture.submit(1, stream(&fixture, 1_800))), None);
    // it waits for the load instead of the holder's queue
    assert_eq!(fixture.homes(ADAPTER), ["engines-2"]);
    fixture.handle(DispatchEvent::RequestWithdrawn(1));
    // but not if the load alone takes longer than the deadline
    let slow_loads = EngineStats {
        next_load_ms: 6_000,
        ..stats(NOMINAL, 8, 0)
    };
    fixture.view(2, engine_view(2, false, slow_loads));
    let (cause, _) = rejection(&fixture.submit(2, stream(&fixture, 1_800))).expect("a rejection");
    assert_eq!(cause, RejectionCause::MissesDeadline);
}

/// Guards against a wait for a load that never ends: the request goes to its holder in the end.
#[test]
fn a_prompt_whose_load_elsewhere_fails_is_sent_to_its_holder_within_the_objective() {
    let mut fixture = fleet([SLOW, NOMINAL, NOMINAL], 8, &[1]);
    assert_eq!(fixture.submit(1, stream(&fixture, 6_000)), []);
    assert_eq!(fixture.homes(ADAPTER).len(), 1);
    let mut waited = ms(0);
    let sent = loop {
        waited += ms(25);
        assert!(waited < ms(1_000), "within the objective");
        // the engines report, but none loads it
        for number in 1..=3_u8 {
            let speed = if number == 1 { SLOW } else { NOMINAL };
            let view = engine_view(number, number == 1, stats(speed, 8, 0));
            assert_eq!(fixture.view(number, view), []);
        }
        let decided = fixture.advance(ms(25));
        if !decided.is_empty() {
            break decided;
        }
    };
    assert_eq!(sent_to(&sent), ["engines-1"]);
    assert_eq!(outcome(&sent), Some(PacingOutcome::LeastLoss));
}

/// Guards against rejections on a guess.
#[test]
fn without_output_tokens_or_performance_nothing_is_rejected_for_its_deadline() {
    let crowded = |speeds: Speeds| {
        let mut fixture = fleet(speeds, 8, &[1]);
        fixture.now += ms(10);
        for number in 1..=3 {
            let stats = stats(speeds[usize::from(number) - 1], 40, 192_000);
            fixture.view(number, engine_view(number, number == 1, stats));
        }
        fixture
    };
    let mut fixture = crowded([NOMINAL; 3]);
    let known = stream(&fixture, 1_800);
    assert!(rejection(&fixture.submit(1, known.clone())).is_some());
    let unknown = DispatchRequest {
        expected_output_tokens: 0,
        ..known.clone()
    };
    assert_eq!(rejection(&fixture.submit(2, unknown)), None);
    let resent = DispatchRequest {
        send_count: 1,
        ..known.clone()
    };
    assert_eq!(rejection(&fixture.submit(3, resent)), None);
    for speeds in [[NOMINAL, NOMINAL, None], [None; 3]] {
        let mut fixture = crowded(speeds);
        let request = stream(&fixture, 1_800);
        assert_eq!(rejection(&fixture.submit(1, request)), None, "{speeds:?}");
    }
    // a view that is too old proves nothing
    let mut fixture = crowded([NOMINAL; 3]);
    fixture.now += ms(1_100);
    let request = stream(&fixture, 1_800);
    assert_eq!(rejection(&fixture.submit(1, request)), None);
}

/// Sends a crowd of prompts of all sizes; returns each decision's engine or its absence.
fn crowd(
    speeds: Speeds,
    features: FeatureSwitches,
    gap: Option<Duration>,
) -> Vec<(Vec<String>, usize)> {
    let mut fixture = fleet(speeds, 8, &[1, 2]);
    fixture.update_settings(|settings| settings.features = features);
    let mut decisions = Vec::new();
    for ticket in 0..60_u64 {
        let request = DispatchRequest {
            target_gap: gap,
            ..stream(&fixture, 300 + (ticket as u32 * 977) % 6_000)
        };
        let decided = fixture.submit(ticket, request);
        decisions.push((sent_to(&decided), fixture.dispatcher.waiting_count()));
        let decided = fixture.advance(ms(20));
        decisions.push((sent_to(&decided), fixture.dispatcher.waiting_count()));
    }
    decisions
}

/// Guards against changed choices on routes without a gap objective, with the switch off, or
/// where no performance is known.
#[test]
fn without_a_gap_objective_figures_or_the_switch_all_choices_are_as_before() {
    let on = FeatureSwitches::default();
    let off = FeatureSwitches {
        stream_pacing: false,
        ..on
    };
    let slow = [SLOW, SLOW, NOMINAL];
    let gap = Some(ms(400));
    let before = crowd(slow, off, None);
    assert_ne!(crowd(slow, on, gap), before, "the crowd needs protection");
    assert_eq!(crowd(slow, on, None), before, "no gap objective");
    assert_eq!(crowd(slow, off, gap), before, "switched off");
    let unknown = crowd([None; 3], off, None);
    assert_eq!(crowd([None; 3], on, gap), unknown, "unknown performance");
}
