//! Streams whose engine fails, over real processes: within one response, a resumable one is
//! continued by another engine.
//!
//! Guards against: streams that break off with their engine, events that are lost, repeated or
//! joined from two parts, responses that end as complete before their last event, and a run that
//! starts while the previous one may go on.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            open_stream, prompt, request, serve_prompt, BackendFault, ClientRequest,
            ClientResponse, CutKind, Fleet, FleetSettings, StreamFault,
        },
        waiting::until,
    },
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

const ENGINES: u8 = 3;
const EVENTS: u32 = 8;
const MAX_ATTEMPTS: u32 = 3;
const STREAMS: usize = 6;
/// Time for which a closed connection's run may go on at its engine.
const STOP_TIME: Duration = Duration::from_millis(400);
/// Longer than the time in which the end of an engine is noticed.
const RESTART_DELAY: Duration = Duration::from_secs(2);
/// Length of `id: 0`, a line without its end.
const FIRST_LINE: usize = 5;

fn cut(kind: CutKind) -> StreamFault {
    StreamFault {
        kind,
        ..StreamFault::default()
    }
}

/// Starts a fleet whose streams may be resumed, with an adapter on one engine.
async fn start(change: impl FnOnce(&mut serde_json::Value)) -> Result<Fleet> {
    start_with(FleetSettings::default(), change).await
}

async fn start_with(
    settings: FleetSettings,
    change: impl FnOnce(&mut serde_json::Value),
) -> Result<Fleet> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: ENGINES,
        stream_attempts: MAX_ATTEMPTS,
        ..settings
    })
    .await?;
    fleet.configure(|document| {
        let route = &mut document["Routes"][2];
        route["Resumable"] = json!(true);
        route["MaxAttempts"] = json!(MAX_ATTEMPTS);
        change(document);
    });
    let version = format!("configuration {} in force", fleet.version());
    until("the configuration is applied", || {
        fleet.log().contains(&version)
    })
    .await;
    for engine in &fleet.engines {
        engine.state().event_count = EVENTS;
    }
    serve_prompt(&fleet, "a", "first").await?;
    Ok(fleet)
}

/// Returns the engine that has the adapter.
fn holder(fleet: &Fleet) -> usize {
    let ran = |engine: usize| !fleet.engines[engine].runs().is_empty();
    (0..fleet.engines.len()).find(|e| ran(*e)).expect("a run")
}

/// Injects a fault into the next stream of the engine that has the adapter.
fn set_fault(fleet: &Fleet, fault: BackendFault) {
    fleet.engines[holder(fleet)].set_fault(fault, 1);
}

/// Injects a fault into the next stream of each other engine.
fn set_fault_of_others(fleet: &Fleet, fault: BackendFault) {
    let holder = holder(fleet);
    let others = fleet.engines.iter().enumerate();
    let others = others.filter(|(number, _)| *number != holder);
    others.for_each(|(_, engine)| engine.set_fault(fault, 1));
}

/// Returns the events in a range, as engines send them.
fn events(range: std::ops::Range<u32>) -> String {
    let events = range.map(|id| format!("id: {id}\ndata: x\n\n"));
    events.collect()
}

fn text(response: &ClientResponse) -> String {
    String::from_utf8_lossy(&response.data()).to_string()
}

fn assert_whole(response: &ClientResponse, case: &str) {
    assert_eq!(response.status, 200, "{case}");
    assert_eq!(text(response), events(0..EVENTS), "{case}");
    assert!(response.is_complete, "{case}");
    let stamp = response.head.get("chalkcart-response-stamp");
    assert_eq!(stamp, Some("stamp"), "{case}");
}

/// Asserts that a response broke off after complete events.
fn assert_broken_after(response: &ClientResponse, count: u32, case: &str) {
    assert_eq!(text(response), events(0..count), "{case}");
    assert!(!response.is_complete, "{case}");
}

/// Returns the values of `Last-Event-Id` of a request's runs, in the order of the engines.
fn last_event_ids(fleet: &Fleet, id: &str) -> Vec<Option<String>> {
    let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
    let runs = runs.filter(|run| run.request == id);
    let mut ids: Vec<_> = runs
        .map(|run| run.headers.get("last-event-id").cloned())
        .collect();
    ids.sort();
    ids
}

fn id(id: u32) -> Option<String> {
    Some(id.to_string())
}

/// Returns the lines of the log that contain a text.
fn lines(fleet: &Fleet, text: &str) -> Vec<String> {
    let log = fleet.log();
    let lines = log.lines().filter(|line| line.contains(text));
    lines.map(str::to_string).collect()
}

async fn wait_until_logged(fleet: &Fleet, text: &str) {
    until(text, || !lines(fleet, text).is_empty()).await;
}

async fn assert_not_resumed(fleet: &Fleet, cause: &str) {
    wait_until_logged(fleet, "stream not resumed").await;
    let lines = lines(fleet, "stream not resumed");
    let cause = format!("\"cause\":\"{cause}\"");
    assert!(lines[0].contains(&cause), "{cause}: {lines:?}");
    assert_eq!(lines.len(), 1, "{lines:?}");
}

#[tokio::test]
async fn a_stream_is_whole_after_a_cut() -> Result<()> {
    let unframed = StreamFault {
        is_chunked: false,
        ..cut(CutKind::Reset)
    };
    let inside = StreamFault {
        extra_bytes: 9,
        ..cut(CutKind::Close)
    };
    let inside_unframed = StreamFault {
        is_chunked: false,
        ..inside
    };
    let before_events = StreamFault {
        after: 0,
        ..cut(CutKind::Close)
    };
    let cases = [
        (cut(CutKind::Close), Some(1)),
        (cut(CutKind::Reset), Some(1)),
        (cut(CutKind::Crash), Some(1)),
        (unframed, Some(1)),
        (inside, Some(1)),
        (inside_unframed, Some(1)),
        (before_events, None),
    ];
    for (fault, last) in cases {
        let case = format!("{fault:?}");
        let fleet = start(|_| {}).await?;
        for engine in &fleet.engines {
            engine.state().restart_delay = RESTART_DELAY;
        }
        set_fault(&fleet, BackendFault::Cut(fault));
        let response = request(fleet.clients, &prompt("a", "r")).await?;
        assert_whole(&response, &case);
        let resumed_after = last.and_then(id);
        assert_eq!(last_event_ids(&fleet, "r"), [None, resumed_after], "{case}");
        let resumed = lines(&fleet, "stream resumed");
        assert_eq!(resumed.len(), 1, "{case}: {resumed:?}");
        let engine_ended = format!("\"engine_ended\":{}", fault.kind == CutKind::Crash);
        assert!(resumed[0].contains(&engine_ended), "{case}: {resumed:?}");
        let metrics = fleet.metrics_text().await;
        let counted = "chalkcart_ingress_resumptions_total{code=\"resumed\"} 1";
        assert!(metrics.contains(counted), "{case}: {metrics}");
        if fault.kind != CutKind::Crash {
            assert_started_after_stop(&fleet, "r", &case);
        }
    }
    Ok(())
}

/// Asserts that the engine that continued a stream got it only after the other one had time to
/// stop.
fn assert_started_after_stop(fleet: &Fleet, id: &str, case: &str) {
    let states: Vec<_> = fleet.engines.iter().map(|engine| engine.state()).collect();
    let cuts = states.iter().flat_map(|state| state.cuts.iter().copied());
    let arrivals = states.iter().flat_map(|state| state.arrivals.iter());
    let arrivals = arrivals.filter(|(_, request)| request == id);
    let (cut, resumed) = (cuts.max(), arrivals.map(|(at, _)| *at).max());
    let (cut, resumed) = (cut.expect("a cut"), resumed.expect("an arrival"));
    assert!(resumed >= cut + STOP_TIME, "{case}: {:?}", resumed - cut);
}

#[tokio::test]
async fn a_stream_cut_at_each_byte_of_an_event_is_whole() -> Result<()> {
    let fleet = start(|_| {}).await?;
    serve_everywhere(&fleet).await?;
    // the engine that continues ends before its own cut
    let after = EVENTS / 2;
    let length = events(after..after + 1).len();
    for extra_bytes in 0..=length {
        let fault = StreamFault {
            extra_bytes,
            after,
            ..cut(CutKind::Close)
        };
        for engine in &fleet.engines {
            engine.set_fault(BackendFault::Cut(fault), 1);
        }
        let request_id = format!("r{extra_bytes}");
        let response = request(fleet.clients, &prompt("a", &request_id)).await?;
        assert_whole(&response, &request_id);
        // the last byte completes the event
        let last = after - u32::from(extra_bytes < length);
        assert_eq!(last_event_ids(&fleet, &request_id), [None, id(last)]);
        for engine in &fleet.engines {
            engine.set_fault(BackendFault::None, 0);
        }
    }
    Ok(())
}

/// Loads the adapter on every engine.
async fn serve_everywhere(fleet: &Fleet) -> Result<()> {
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    serve_prompt(fleet, "a", "everywhere").await?;
    Ok(())
}

#[tokio::test]
async fn a_stream_with_two_cuts_in_a_row_is_whole() -> Result<()> {
    for kinds in [
        [CutKind::Close, CutKind::Reset],
        [CutKind::Crash, CutKind::Crash],
        [CutKind::Reset, CutKind::Crash],
    ] {
        let fleet = start(|_| {}).await?;
        // no event of the first engine follows that of the second one
        let first = StreamFault {
            extra_bytes: FIRST_LINE,
            ..cut(kinds[0])
        };
        set_fault(&fleet, BackendFault::Cut(first));
        set_fault_of_others(&fleet, BackendFault::Cut(cut(kinds[1])));
        let holder = holder(&fleet);
        let sent = prompt("a", "r");
        let response = tokio::spawn({
            let (clients, sent) = (fleet.clients, sent.clone());
            async move { request(clients, &sent).await }
        });
        // only the second engine has the fault
        until("the second engine runs it", || {
            let others = (0..fleet.engines.len()).filter(|e| *e != holder);
            let runs = |e: usize| fleet.engines[e].runs();
            others
                .filter(|e| runs(*e).iter().any(|run| run.request == "r"))
                .count()
                > 0
        })
        .await;
        for engine in &fleet.engines {
            if engine.runs().iter().all(|run| run.request != "r") {
                engine.set_fault(BackendFault::None, 0);
            }
        }
        let response = response.await??;
        assert_whole(&response, &format!("{kinds:?}"));
        assert_eq!(last_event_ids(&fleet, "r"), [None, id(1), id(3)]);
        assert_eq!(lines(&fleet, "stream resumed").len(), 2);
    }
    Ok(())
}

/// Guards against: streams of one engine that wait for each other, or are lost, once it has
/// crashed under all of them.
#[tokio::test]
async fn all_streams_of_an_engine_are_whole_after_its_crash() -> Result<()> {
    let fleet = start(|_| {}).await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.restart_delay = RESTART_DELAY;
        state.event_interval = Duration::from_millis(100);
    }
    let holder = holder(&fleet);
    let streams = (0..STREAMS).map(|number| {
        let id = format!("r{number}");
        let body = id.clone().into_bytes();
        let (clients, sent) = (fleet.clients, prompt("a", &id));
        let sent = ClientRequest { body, ..sent };
        tokio::spawn(async move { request(clients, &sent).await })
    });
    let streams: Vec<_> = streams.collect();
    until("all streams have events", || {
        let runs = fleet.engines[holder].runs();
        runs.len() > STREAMS
    })
    .await;
    sleep(Duration::from_millis(250)).await;
    fleet.engines[holder].state().crash();
    for (number, stream) in streams.into_iter().enumerate() {
        assert_whole(&stream.await??, &format!("r{number}"));
    }
    Ok(())
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_breaks_off_with_its_engine() -> Result<()> {
    for kind in [CutKind::Close, CutKind::Reset, CutKind::Crash] {
        let fleet = start(|document| document["Routes"][2]["Resumable"] = json!(false)).await?;
        set_fault(&fleet, BackendFault::Cut(cut(kind)));
        let response = request(fleet.clients, &prompt("a", "r")).await?;
        assert_broken_after(&response, 2, &format!("{kind:?}"));
        sleep(2 * STOP_TIME).await;
        assert_eq!(last_event_ids(&fleet, "r"), [None]);
    }
    Ok(())
}

#[tokio::test]
async fn nothing_is_resumed_for_a_client_that_has_left() -> Result<()> {
    let fleet = start(|_| {}).await?;
    set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
    let stream = open_stream(fleet.clients, &prompt("a", "r")).await?;
    until("the stream is cut", || {
        fleet.engines.iter().any(|e| !e.state().cuts.is_empty())
    })
    .await;
    drop(stream);
    assert_not_resumed(&fleet, "client_left").await;
    sleep(2 * STOP_TIME).await;
    assert_eq!(last_event_ids(&fleet, "r"), [None]);
    Ok(())
}

#[tokio::test]
async fn a_stream_breaks_off_at_its_deadline() -> Result<()> {
    // before another engine may start, and while one runs
    for (deadline_ms, engine_runs) in [(300, 1), (900, 2)] {
        let fleet = start(|_| {}).await?;
        set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
        set_fault_of_others(&fleet, BackendFault::Unresponsive);
        let sent = ClientRequest {
            deadline_ms,
            ..prompt("a", "r")
        };
        let response = request(fleet.clients, &sent).await?;
        assert_broken_after(&response, 2, &deadline_ms.to_string());
        assert_not_resumed(&fleet, "deadline").await;
        sleep(2 * STOP_TIME).await;
        assert_eq!(last_event_ids(&fleet, "r").len(), engine_runs);
    }
    Ok(())
}

/// A stream that this entry ends at its deadline is not repeated.
#[tokio::test]
async fn a_stream_that_reaches_its_deadline_is_not_resumed() -> Result<()> {
    let fleet = start(|_| {}).await?;
    for engine in &fleet.engines {
        engine.state().event_interval = Duration::from_millis(200);
    }
    let sent = ClientRequest {
        deadline_ms: 500,
        ..prompt("a", "r")
    };
    let response = request(fleet.clients, &sent).await?;
    assert!(!response.is_complete);
    sleep(2 * STOP_TIME).await;
    assert_eq!(last_event_ids(&fleet, "r"), [None]);
    assert!(lines(&fleet, "stream not resumed").is_empty());
    Ok(())
}

#[tokio::test]
async fn a_stream_breaks_off_when_its_attempts_are_used_up() -> Result<()> {
    let fleet = start(|document| document["Routes"][2]["MaxAttempts"] = json!(2)).await?;
    set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
    set_fault_of_others(&fleet, BackendFault::Cut(cut(CutKind::Close)));
    let response = request(fleet.clients, &prompt("a", "r")).await?;
    assert_broken_after(&response, 4, "two engines");
    assert_eq!(last_event_ids(&fleet, "r"), [None, id(1)]);
    assert_not_resumed(&fleet, "attempts").await;
    Ok(())
}

/// Guards against: continuations of cut streams that the retry budget of the service does not
/// count.
#[tokio::test]
async fn a_stream_breaks_off_when_the_retry_budget_is_used_up() -> Result<()> {
    let fleet = start(|_| {}).await?;
    let settings = std::fs::read_to_string(&fleet.settings_file)?;
    let settings = settings.replace("\"retry_extra\":50", "\"retry_extra\":0");
    std::fs::write(&fleet.settings_file, settings)?;
    kill(Pid::from_raw(fleet.ingress.id() as i32), Signal::SIGHUP)?;
    sleep(Duration::from_secs(1)).await;
    set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
    let response = request(fleet.clients, &prompt("a", "r")).await?;
    assert_broken_after(&response, 2, "no budget");
    assert_not_resumed(&fleet, "no_budget").await;
    assert_eq!(last_event_ids(&fleet, "r"), [None]);
    Ok(())
}

#[tokio::test]
async fn a_wrong_continuation_is_not_used() -> Result<()> {
    let cases = [
        BackendFault::WrongRequestId,
        BackendFault::WithoutStamp,
        BackendFault::EncodeBody,
        BackendFault::ShiftEvents(-1),
        BackendFault::ShiftEvents(-2),
        BackendFault::ShiftEvents(1),
        BackendFault::Status(500),
        BackendFault::Status(404),
        BackendFault::CloseBeforeResponse,
        BackendFault::InvalidBytes,
    ];
    for fault in cases {
        let case = format!("{fault:?}");
        let fleet = start(|_| {}).await?;
        set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
        set_fault_of_others(&fleet, fault);
        let response = request(fleet.clients, &prompt("a", "r")).await?;
        // both other engines have the fault, so all attempts are used up
        assert_broken_after(&response, 2, &case);
        let sent_ids = last_event_ids(&fleet, "r");
        assert_eq!(sent_ids, [None, id(1), id(1)], "{case}");
        assert_not_resumed_last(&fleet, "attempts").await;
    }
    Ok(())
}

/// Asserts the cause for which the last cut of a stream was not resumed.
async fn assert_not_resumed_last(fleet: &Fleet, cause: &str) {
    wait_until_logged(fleet, "stream not resumed").await;
    let lines = lines(fleet, "stream not resumed");
    let cause = format!("\"cause\":\"{cause}\"");
    assert!(lines.iter().any(|l| l.contains(&cause)), "{lines:?}");
}

/// Guards against: a request that crashes the engines that run it, sent to one engine after the
/// other for each attempt of its client.
#[tokio::test]
async fn a_request_that_crashes_engines_is_not_resumed() -> Result<()> {
    let fleet = start(|_| {}).await?;
    let body = b"ends each engine that runs it".to_vec();
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.restart_delay = RESTART_DELAY;
        state.crash_body = Some(body.clone());
    }
    let sent = ClientRequest {
        body,
        ..prompt("a", "r")
    };
    let response = request(fleet.clients, &sent).await?;
    assert_broken_after(&response, 0, "crashing");
    assert_not_resumed(&fleet, "suspected").await;
    Ok(())
}

/// An engine that rejects the continuation has not run it: the next one gets it.
#[tokio::test]
async fn a_continuation_that_an_engine_rejects_goes_to_the_next_one() -> Result<()> {
    let fleet = start(|_| {}).await?;
    set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
    set_fault_of_others(&fleet, BackendFault::Overloaded);
    let response = request(fleet.clients, &prompt("a", "r")).await?;
    assert_whole(&response, "overloaded once");
    let states = fleet.engines.iter().map(|engine| engine.state());
    let arrivals = states.map(|state| state.arrivals.iter().filter(|(_, id)| id == "r").count());
    assert!(arrivals.sum::<usize>() > 2, "no engine rejected it");
    assert_eq!(last_event_ids(&fleet, "r"), [None, id(1)]);
    Ok(())
}

/// A client that resumes by itself receives the rest of its stream once.
#[tokio::test]
async fn a_clients_own_resumption_is_continued() -> Result<()> {
    let fault = StreamFault {
        after: 0,
        ..cut(CutKind::Close)
    };
    for (fault, resumed_after) in [(fault, 2), (cut(CutKind::Close), 4)] {
        let fleet = start(|_| {}).await?;
        set_fault(&fleet, BackendFault::Cut(fault));
        let id = format!("r{resumed_after}");
        let sent = ClientRequest {
            headers: vec![("Last-Event-Id".to_string(), "2".to_string())],
            ..prompt("a", &id)
        };
        let response = request(fleet.clients, &sent).await?;
        assert_eq!(text(&response), events(3..EVENTS));
        assert!(response.is_complete);
        let resumed = Some(resumed_after.to_string());
        assert_eq!(last_event_ids(&fleet, &id), [Some("2".into()), resumed]);
    }
    Ok(())
}

/// The end of an unframed stream looks like the end of its connection, which is a known limit: a
/// cut between two events is not noticed.
#[tokio::test]
async fn an_unframed_stream_ends_with_its_connection() -> Result<()> {
    let fleet = start(|_| {}).await?;
    let fault = StreamFault {
        is_chunked: false,
        after: u32::MAX,
        ..cut(CutKind::Close)
    };
    set_fault(&fleet, BackendFault::Cut(fault));
    let response = request(fleet.clients, &prompt("a", "r")).await?;
    assert_whole(&response, "unframed");
    assert_eq!(last_event_ids(&fleet, "r"), [None]);
    Ok(())
}

/// With the switch off, a stream breaks off as before.
#[tokio::test]
async fn a_stream_breaks_off_with_the_feature_off() -> Result<()> {
    let mut fleet = start(|_| {}).await?;
    let settings = std::fs::read_to_string(&fleet.settings_file)?;
    let mut settings: serde_json::Value = serde_json::from_str(&settings)?;
    settings["mechanisms"] = json!({ "stream_recovery": false });
    std::fs::write(&fleet.settings_file, settings.to_string())?;
    fleet.ingress.kill()?;
    fleet.start_ingress()?;
    fleet.wait_ready().await;
    serve_prompt(&fleet, "a", "second").await?;
    set_fault(&fleet, BackendFault::Cut(cut(CutKind::Close)));
    let response = request(fleet.clients, &prompt("a", "r")).await?;
    assert_broken_after(&response, 2, "off");
    assert_eq!(last_event_ids(&fleet, "r"), [None]);
    Ok(())
}
