//! Streams whose engine fails, over real processes: within one response, a resumable one is
//! continued by another engine.
//!
//! Guards against: streams that break off with their engine, events that are lost, repeated or
//! joined from two parts, and responses that end as complete before their last event.

mod recovery_fixture;

use {
    anyhow::Result,
    chalkcart_coordination::response_end::Framing,
    chalkcart_testkit::{
        users_platform::{prompt, request, BackendFault, ClientRequest, CutKind, StreamFault},
        waiting::until,
    },
    recovery_fixture::*,
    std::time::Duration,
    tokio::time::sleep,
};

#[tokio::test]
async fn a_stream_is_whole_after_a_cut() -> Result<()> {
    let unframed = StreamFault {
        framing: Framing::Connection,
        ..cut(CutKind::Reset)
    };
    let inside = StreamFault {
        extra_bytes: 9,
        ..cut(CutKind::Close)
    };
    let inside_unframed = StreamFault {
        framing: Framing::Connection,
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

/// Guards against: event ids that go back for a client that takes its stream up, when the engine
/// starts before the event that the client named.
#[tokio::test]
async fn a_client_that_takes_its_stream_up_gets_no_event_twice() -> Result<()> {
    for shift in [-1, -3] {
        let case = format!("starts {shift} events off");
        let fleet = start(|_| {}).await?;
        set_fault(&fleet, BackendFault::ShiftEvents(shift));
        let response = request(fleet.clients, &taken_up_after(2)).await?;
        assert_eq!(text(&response), events(3..EVENTS), "{case}");
        assert!(response.is_complete, "{case}");
        assert_eq!(last_event_ids(&fleet, "r"), [id(2), id(2)], "{case}");
    }
    Ok(())
}

/// Guards against: the same where no engine starts at the right event; the response must not seem
/// complete.
#[tokio::test]
async fn a_stream_that_no_engine_continues_at_the_clients_event_breaks_off() -> Result<()> {
    let fleet = start(|_| {}).await?;
    set_fault(&fleet, BackendFault::ShiftEvents(-2));
    set_fault_of_others(&fleet, BackendFault::ShiftEvents(-2));
    let response = request(fleet.clients, &taken_up_after(2)).await?;
    assert_broken_after(&response, 0, "all start two events off");
    assert_not_resumed_last(&fleet, "attempts").await;
    Ok(())
}

fn taken_up_after(event: u32) -> ClientRequest {
    ClientRequest {
        headers: vec![("Last-Event-Id".to_string(), event.to_string())],
        ..prompt("a", "r")
    }
}

/// The end of an unframed stream looks like the end of its connection, which is a known limit: a
/// cut between two events is not noticed.
#[tokio::test]
async fn an_unframed_stream_ends_with_its_connection() -> Result<()> {
    let fleet = start(|_| {}).await?;
    let fault = StreamFault {
        framing: Framing::Connection,
        after: u32::MAX,
        ..cut(CutKind::Close)
    };
    set_fault(&fleet, BackendFault::Cut(fault));
    let response = request(fleet.clients, &prompt("a", "r")).await?;
    assert_whole(&response, "unframed");
    assert_eq!(last_event_ids(&fleet, "r"), [None]);
    Ok(())
}
