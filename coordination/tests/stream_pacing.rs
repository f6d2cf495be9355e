//! Predictions of first event, pauses and end of a stream, and the limit for one gap.

use {
    chalkcart_coordination::{
        backend_performance::EnginePerformance,
        stream_pacing::{
            EngineLoad, Forecast, PacingInputs, PacingOutcome, PacingSettings, PrefillWindow,
            ShortestRun, StreamObjectives,
        },
    },
    std::time::{Duration, Instant},
};

/// Gap objective of the services on the requirements page.
const GAP: Duration = Duration::from_millis(400);
const CHUNK: f64 = 2_048.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An engine whose steps take this multiple of the nominal time.
fn engine(relative_time: f64) -> EnginePerformance {
    EnginePerformance {
        prefill_tokens_per_ms: 19.2 / relative_time,
        event_interval_ms: 31.5 * relative_time,
    }
}

fn short_stream() -> StreamObjectives {
    StreamObjectives {
        prompt_tokens: 1_800,
        output_tokens: 24,
        first_event_in: ms(1_000),
        gap: GAP,
        deadline_in: ms(5_000),
    }
}

fn long_stream() -> StreamObjectives {
    StreamObjectives {
        prompt_tokens: 1_110,
        output_tokens: 171,
        deadline_in: ms(15_000),
        ..short_stream()
    }
}

fn load(relative_time: f64, pending: f64, window: &PrefillWindow) -> EngineLoad<'_> {
    EngineLoad {
        performance: engine(relative_time),
        is_measured: true,
        pending_tokens: pending,
        running: 4,
        view_age: Some(ms(120)),
        window,
    }
}

fn forecast(relative_time: f64, pending: f64, request: &StreamObjectives) -> Forecast {
    let window = PrefillWindow::default();
    let load = load(relative_time, pending, &window);
    Forecast::new(&load, request, &PacingSettings::default(), Instant::now())
}

/// Compares with a difference of at most 1 in 100.
fn assert_near(found: f64, expected: f64, what: &str) {
    let is_near = (found - expected).abs() <= expected.abs() * 0.01;
    assert!(is_near, "{what}: {found}, expected {expected}");
}

/// Guards against a pause estimate that misses the base time of the steps or a chunk.
#[test]
fn three_steps_with_full_chunks_take_the_times_of_the_requirements() {
    let settings = PacingSettings::default();
    for (relative_time, pause_ms) in [(0.7, 246.0), (1.0, 351.5), (1.3, 457.0), (1.7, 597.5)] {
        let pause = settings.pause_ms(&engine(relative_time), 3.0 * CHUNK);
        assert_near(pause, pause_ms, "three full chunks");
        // no pause has more than three chunks
        let longer = settings.pause_ms(&engine(relative_time), 10.0 * CHUNK);
        assert_near(longer, pause_ms, "ten full chunks");
    }
}

/// Guards against protecting engines that need none, which would only delay prompts, and against
/// a limit whose tokens exceed the gap objective.
#[test]
fn only_engines_where_full_chunks_exceed_the_gap_are_limited() {
    let settings = PacingSettings::default();
    for relative_time in [0.7, 1.0] {
        let limit = settings.tokens_per_gap(&engine(relative_time), GAP);
        assert_eq!(limit, None, "engine of {relative_time}");
    }
    for relative_time in [1.3, 1.7, 3.5] {
        let engine = engine(relative_time);
        let limit = settings.tokens_per_gap(&engine, GAP).expect("a limit");
        let pause = settings.pause_ms(&engine, limit);
        assert!(pause <= 400.0 * settings.gap_ratio + 1e-6, "{pause} ms");
        assert!(pause > 300.0, "the limit uses the gap: {pause} ms");
    }
    // decode alone exceeds the gap
    assert_eq!(settings.tokens_per_gap(&engine(20.0), GAP), Some(0.0));
}

/// Guards against a first event or end that leaves out the queue, the base steps or the decode.
#[test]
fn first_event_and_end_follow_the_step_model() {
    let short = short_stream();
    let long = long_stream();
    let rows = [
        // relative time, pending tokens, request, first event, end, each in ms
        (1.0, 0.0, &short, 145.75, 366.25),
        (1.0, 4_096.0, &short, 380.1, 600.6),
        (1.7, 0.0, &short, 240.8, 615.65),
        (0.7, 0.0, &long, 79.9, 1_314.7),
        (1.7, 0.0, &long, 179.7, 3_178.5),
    ];
    for (relative_time, pending, request, first, end) in rows {
        let found = forecast(relative_time, pending, request);
        assert_near(found.first_event_ms, first, "first event");
        if pending == 0.0 {
            assert_near(found.end_ms.expect("an end"), end, "end");
        } else {
            // prompts that go on to start delay decode
            assert!(found.end_ms.expect("an end") > end, "{:?}", found.end_ms);
        }
    }
    let unknown = StreamObjectives {
        output_tokens: 0,
        ..short
    };
    assert_eq!(forecast(1.0, 0.0, &unknown).end_ms, None);
}

/// Guards against the fault on the slow engines: a third full chunk in a row makes every stream
/// there late.
#[test]
fn a_third_full_chunk_in_a_row_is_held_back_at_a_slow_engine() {
    let start = Instant::now();
    let settings = PacingSettings::default();
    let request = StreamObjectives {
        prompt_tokens: 2_048,
        ..short_stream()
    };
    let mut window = PrefillWindow::default();
    window.on_sent(1_400, start);
    window.on_sent(2_048, start + ms(100));
    let now = start + ms(150);
    let forecast = |relative_time, now| {
        let load = load(relative_time, 0.0, &window);
        Forecast::new(&load, &request, &settings, now)
    };
    let slow = forecast(1.7, now);
    assert!(!slow.holds(&request));
    assert!(slow.running_pause_ms > 400.0, "{}", slow.running_pause_ms);
    // the first two no longer fit with it until the second left the window
    assert_eq!(slow.turn_in, Some(ms(350)));
    assert_eq!(slow.worthwhile_wait(&request), Some(ms(350)));
    assert!(forecast(1.7, now + ms(350)).holds(&request));
    // an engine without a limit takes it at once
    assert!(forecast(1.0, now).holds(&request));
}

/// Guards against waits that make the first event late, or that never end.
#[test]
fn a_wait_ends_before_the_first_event_would_be_late() {
    let now = Instant::now();
    let settings = PacingSettings::default();
    let mut window = PrefillWindow::default();
    window.on_sent(3_000, now);
    let load = load(1.7, 3_000.0, &window);
    let wait = |left| {
        let request = StreamObjectives {
            first_event_in: left,
            ..short_stream()
        };
        Forecast::new(&load, &request, &settings, now).worthwhile_wait(&request)
    };
    assert_eq!(wait(ms(1_000)), Some(ms(400)));
    // 400 ms of wait and 241 ms of prefill do not fit
    assert_eq!(wait(ms(600)), None);
    // a prompt above the limit has no turn
    let large = StreamObjectives {
        prompt_tokens: 6_870,
        ..short_stream()
    };
    let forecast = Forecast::new(&load, &large, &settings, now);
    assert_eq!((forecast.turn_in, forecast.holds(&large)), (None, false));
    // unless no stream runs there that it would delay
    let idle = EngineLoad {
        running: 0,
        pending_tokens: 0.0,
        ..load
    };
    assert!(Forecast::new(&idle, &large, &settings, now).holds(&large));
}

/// Guards against a loss that counts only the request and not the streams that it delays.
#[test]
fn the_loss_counts_the_streams_that_run_there() {
    let large = StreamObjectives {
        prompt_tokens: 6_870,
        ..short_stream()
    };
    let late = forecast(1.7, 0.0, &large).loss(&large);
    assert!(late > 2.0, "four streams late: {late}");
    assert_eq!(forecast(0.7, 0.0, &large).loss(&large), 0.0);
    let hopeless = StreamObjectives {
        deadline_in: ms(100),
        ..short_stream()
    };
    assert_eq!(forecast(1.0, 0.0, &hopeless).loss(&hopeless), 1.0);
}

/// Guards against counting this entry's own prompts twice, and against missing those of others.
#[test]
fn prompts_of_other_entries_are_seen_in_the_reports() {
    let start = Instant::now();
    let mut window = PrefillWindow::default();
    window.on_report(0.0, 1.0, 10.0, start);
    window.on_sent(1_000, start + ms(20));
    // 1,000 own tokens and 2,000 of others, none prefilled yet
    window.on_report(3_000.0, 1.0, 10.0, start + ms(100));
    assert_eq!(window.started_within(GAP, start + ms(100)), 3_000.0);
    // 1,000 of them are prefilled, nothing came
    window.on_report(2_000.0, 1.0, 10.0, start + ms(200));
    assert_eq!(window.started_within(GAP, start + ms(200)), 3_000.0);
    // after another 100 ms 1,000 would remain, so 500 came
    window.on_report(1_500.0, 1.0, 10.0, start + ms(300));
    assert_eq!(window.started_within(GAP, start + ms(300)), 3_500.0);
    // the own ones leave the window first
    assert_eq!(window.started_within(GAP, start + ms(430)), 2_500.0);
    assert_eq!(
        window.time_until_at_most(500.0, GAP, start + ms(430)),
        ms(70)
    );
    assert_eq!(window.started_within(GAP, start + ms(700)), 0.0);
    // the first report after a loss is no start
    window.on_reports_lost();
    window.on_report(9_000.0, 1.0, 10.0, start + ms(800));
    assert_eq!(window.started_within(GAP, start + ms(800)), 0.0);
}

/// Guards against rejections on a guess and against a constant retry time.
#[test]
fn the_shortest_run_is_known_only_with_its_output_tokens() {
    let settings = PacingSettings::default();
    let run = |pending, unavailable, request: &StreamObjectives| {
        ShortestRun::new(&engine(1.0), pending, unavailable, request, &settings)
    };
    let unknown = StreamObjectives {
        output_tokens: 0,
        ..short_stream()
    };
    assert_eq!(run(0.0, ms(0), &unknown), None);
    let short = short_stream();
    let queued = run(192_000.0, ms(0), &short).expect("a run");
    assert_near(queued.wait.as_secs_f64(), 10.0, "queue");
    // 94 ms of prefill, a step, and 24 steps
    assert_near(queued.run.as_secs_f64() * 1e3, 356.25, "run");
    // half of the queue and of the output
    let earliest = queued.earliest_end.as_secs_f64();
    assert_near(earliest, 5.23, "earliest end");
    // a new attempt with 5 s fits when the queue is 4.64 s long
    let fits_in = queued.fits_in(ms(5_000));
    assert_near(fits_in.as_secs_f64(), 5.356, "retry time");
    // one that never fits may return when the queue is done
    assert_eq!(queued.fits_in(ms(300)), queued.wait);
    // a load that ends before the queue costs no time
    assert_eq!(run(192_000.0, ms(288), &short), Some(queued));
    let loading = run(0.0, ms(288), &short).expect("a run");
    assert_eq!(loading.wait, ms(288));
}

/// Guards against a log line from which a decision cannot be explained: its inputs and their age.
#[test]
fn the_log_line_has_the_inputs_and_their_age() {
    let window = PrefillWindow::default();
    let load = load(1.7, 2_000.0, &window);
    let request = short_stream();
    let settings = PacingSettings::default();
    let forecast = Forecast::new(&load, &request, &settings, Instant::now());
    let inputs = PacingInputs::new(PacingOutcome::Waits, &load, &forecast, &request);
    assert_eq!(
        inputs.to_string(),
        "turn tokens_per_ms=11.3 event_ms=53.5 measured=1 limit=3461 used=2000 pending=2000 \
         running=4 first_ms=436 pause_ms=390 end_ms=1108 loss=0.0 turn_in_ms=30 turn_waited_ms=0 \
         view_age_ms=120"
    );
}
