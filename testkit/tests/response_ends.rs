//! Streams that engines end or break off at any place, over real processes.
//!
//! Guards against: a stream that was broken off and reaches its client as complete.

mod recovery_fixture;

use {
    anyhow::Result,
    chalkcart_coordination::response_end::Framing,
    chalkcart_testkit::users_platform::{
        prompt, request, BackendFault, ClientRequest, ClientResponse, CutKind, Fleet,
        FleetSettings, StreamFault,
    },
    recovery_fixture::*,
    serde_json::json,
};

/// Longer than what is held back of an event of a stream that may be resumed.
const LARGE_EVENT: usize = 40_000;
/// An event with one byte of data.
const EVENT: &str = "id: 2\ndata: x\n\n";

/// Starts a fleet whose streams are not resumed at other engines.
async fn start_without_resumption(is_resumable: bool) -> Result<Fleet> {
    let attempts = if is_resumable { MAX_ATTEMPTS } else { 1 };
    start(move |document| {
        document["Routes"][2]["Resumable"] = json!(is_resumable);
        document["Routes"][2]["MaxAttempts"] = json!(attempts);
    })
    .await
}

/// Sends a request whose stream each engine ends with a fault.
async fn response_with(
    fleet: &Fleet,
    fault: StreamFault,
    sent: ClientRequest,
) -> Result<ClientResponse> {
    let engines = &fleet.engines;
    let fault = BackendFault::Cut(fault);
    engines.iter().for_each(|e| e.set_fault(fault, 1));
    let response = request(fleet.clients, &sent).await;
    engines
        .iter()
        .for_each(|e| e.set_fault(BackendFault::None, 0));
    response
}

async fn assert_logged_as_broken(fleet: &Fleet, id: &str) {
    let ended = format!("\"request\":\"{id}\"");
    let is_logged = |line: &String| line.contains("stream ended") && line.contains(&ended);
    chalkcart_testkit::waiting::until("the end of the stream is logged", || {
        lines(fleet, "stream ended").iter().any(is_logged)
    })
    .await;
    let lines = lines(fleet, "stream ended");
    let line = lines.iter().find(|line| is_logged(line)).expect("a line");
    assert!(line.contains("\"outcome\":\"broken\""), "{line}");
}

/// Guards against: an unframed stream on a route without resumption whose engine closed the
/// connection inside an event, and that its client received as complete.
#[tokio::test]
async fn an_unframed_stream_closed_inside_an_event_is_broken_off() -> Result<()> {
    let fleet = start_without_resumption(false).await?;
    for extra_bytes in 1..EVENT.len() {
        let fault = StreamFault {
            framing: Framing::Connection,
            extra_bytes,
            ..cut(CutKind::Close)
        };
        let id = format!("r{extra_bytes}");
        let response = response_with(&fleet, fault, prompt("a", &id)).await?;
        assert!(!response.is_complete, "{extra_bytes}: {}", text(&response));
        assert!(text(&response).starts_with(&events(0..2)), "{extra_bytes}");
        assert_logged_as_broken(&fleet, &id).await;
    }
    Ok(())
}

/// Guards against: a stream whose framing ends inside an event and that counts as complete.
#[tokio::test]
async fn a_framed_stream_that_ends_inside_an_event_is_broken_off() -> Result<()> {
    for is_resumable in [false, true] {
        let fleet = start_without_resumption(is_resumable).await?;
        for framing in [Framing::Chunks, Framing::Length] {
            let fault = StreamFault {
                framing,
                extra_bytes: EVENT.len() - 1,
                ..cut(CutKind::End)
            };
            let id = format!("{framing:?}");
            let response = response_with(&fleet, fault, prompt("a", &id)).await?;
            assert!(!response.is_complete, "{is_resumable} {id}");
            assert_logged_as_broken(&fleet, &id).await;
        }
    }
    Ok(())
}

/// Guards against: a stream that can't be resumed any more, for want of ids or with a large
/// event, and whose end inside an event counts as complete.
#[tokio::test]
async fn an_irregular_stream_closed_inside_an_event_is_broken_off() -> Result<()> {
    let cases: [(&str, usize, bool); 3] = [
        ("no ids", 1, false),
        ("large", LARGE_EVENT, true),
        ("large without ids", LARGE_EVENT, false),
    ];
    for (case, length, has_event_ids) in cases {
        let fleet = start_without_resumption(true).await?;
        for engine in &fleet.engines {
            let mut state = engine.state();
            state.event_data = "x".repeat(length);
            state.has_event_ids = has_event_ids;
        }
        let fault = StreamFault {
            framing: Framing::Connection,
            extra_bytes: length + 3,
            ..cut(CutKind::Close)
        };
        let response = response_with(&fleet, fault, prompt("a", "r")).await?;
        assert!(!response.is_complete, "{case}");
        assert_logged_as_broken(&fleet, "r").await;
    }
    Ok(())
}

/// Guards against: an unframed response without any event that counts as complete.
#[tokio::test]
async fn an_unframed_stream_without_an_event_is_broken_off() -> Result<()> {
    let fleet = start_without_resumption(false).await?;
    let fault = StreamFault {
        framing: Framing::Connection,
        after: 0,
        ..cut(CutKind::Close)
    };
    // the head may not have been sent when the body fails
    let response = response_with(&fleet, fault, prompt("a", "r")).await;
    assert!(!response.is_ok_and(|response| response.is_complete));
    assert_logged_as_broken(&fleet, "r").await;
    Ok(())
}

/// Guards against: a client without chunks for which the end of its connection is the end of the
/// response, whole or not.
#[tokio::test]
async fn a_client_without_chunks_sees_that_its_stream_was_broken_off() -> Result<()> {
    let fleet = start_without_resumption(false).await?;
    for framing in [Framing::Connection, Framing::Chunks] {
        // a chunked stream can be seen to break off between two events as well
        let extra_bytes = match framing {
            Framing::Connection => FIRST_LINE,
            Framing::Chunks | Framing::Length => 0,
        };
        let fault = StreamFault {
            framing,
            extra_bytes,
            ..cut(CutKind::Close)
        };
        let sent = ClientRequest {
            protocol: "HTTP/1.0",
            ..prompt("a", &format!("{framing:?}"))
        };
        let response = response_with(&fleet, fault, sent).await?;
        assert!(!response.is_complete, "{framing:?}: {}", text(&response));
    }
    Ok(())
}

/// An end between two events can't be told from a crash there: it is the end of the stream.
#[tokio::test]
async fn an_unframed_stream_that_ends_between_two_events_is_whole() -> Result<()> {
    for is_resumable in [false, true] {
        let fleet = start_without_resumption(is_resumable).await?;
        let fault = StreamFault {
            framing: Framing::Connection,
            after: EVENTS,
            ..cut(CutKind::Close)
        };
        let response = response_with(&fleet, fault, prompt("a", "r")).await?;
        assert_whole(&response, &format!("resumable: {is_resumable}"));
        let old = ClientRequest {
            protocol: "HTTP/1.0",
            ..prompt("a", "old")
        };
        assert_whole(&request(fleet.clients, &old).await?, "HTTP/1.0");
    }
    Ok(())
}

/// Guards against: a response with events on a route of another kind, which is read to its end
/// before it is passed on, and counts as complete although it ends inside an event.
#[tokio::test]
async fn events_that_were_broken_off_on_another_kind_of_route_are_a_failure() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let content_type = ("Content-Type", "text/event-stream".to_string());
    fleet.plain[0].state().extra_headers.push(content_type);
    for fault in [BackendFault::None, BackendFault::DelimitBodyByClose] {
        fleet.plain[0].set_fault(fault, 1);
        let sent = ClientRequest {
            target: "/unsafe/".to_string(),
            ..ClientRequest::default()
        };
        let response = request(fleet.clients, &sent).await?;
        assert_eq!(response.status, 502, "{fault:?}");
    }
    Ok(())
}
