//! Streams whose engine fails and that are not resumed, over real processes.
//!
//! Guards against: a run that is repeated on a route that does not allow it, for a client that has
//! left, or beyond the deadline, the attempts or the retry budget.

mod recovery_fixture;

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            open_stream, prompt, request, serve_prompt, BackendFault, ClientRequest, CutKind,
        },
        waiting::until,
    },
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    recovery_fixture::*,
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

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
