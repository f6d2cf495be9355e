//! Responses that clients of the ingress receive and requests that back ends receive, over real
//! processes with one back-end fault per case.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            request, send_with_retries, BackendFault, ClientRequest, Fleet, FleetSettings,
            RetryingClients,
        },
        waiting::until,
    },
    std::time::Duration,
};

const BACKEND_BODY: &[u8] = b"the whole answer";

fn request_to(target: &str, id: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        id: id.to_string(),
        ..ClientRequest::default()
    }
}

#[tokio::test]
async fn a_request_reaches_its_back_end_unchanged_and_its_response_returns_complete() -> Result<()>
{
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let sent = ClientRequest {
        headers: vec![
            ("X-Own".to_string(), "kept".to_string()),
            ("Connection".to_string(), "X-Hop".to_string()),
            ("X-Hop".to_string(), "dropped".to_string()),
        ],
        body: b"a body".to_vec(),
        ..request_to("/unsafe/a%2Fb/../c?q=1&q=2", "r1")
    };
    let response = request(fleet.clients, &sent).await?;
    assert_eq!(
        (response.status, response.body.as_slice()),
        (200, BACKEND_BODY)
    );
    assert!(response.is_complete);
    assert_eq!(response.head.get("chalkcart-response-stamp"), Some("stamp"));
    let runs = fleet.plain[0].runs();
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!(
        (run.method.as_str(), run.target.as_str()),
        ("POST", "/unsafe/a%2Fb/../c?q=1&q=2")
    );
    assert_eq!(
        (run.request.as_str(), run.body.as_slice()),
        ("r1", b"a body".as_slice())
    );
    assert_eq!(run.headers.get("x-own").map(String::as_str), Some("kept"));
    assert!(!run.headers.contains_key("x-hop"));
    assert_eq!(
        run.headers
            .get("chalkcart-expect-instance")
            .map(String::as_str),
        Some("p-0")
    );
    let time_left_ms: u64 = run.headers["chalkcart-deadline-ms"].parse()?;
    assert!(
        time_left_ms <= 8_000,
        "{time_left_ms}: more than the timeout of the route"
    );
    Ok(())
}

/// One fault of one of two back ends: the status for the client and the number of runs.
#[tokio::test]
async fn each_back_end_fault_gives_the_expected_status_and_runs() -> Result<()> {
    let cases: &[(&str, BackendFault, u16, usize)] = &[
        // retried once at the other back end
        ("/safe/", BackendFault::CloseBeforeResponse, 200, 2),
        ("/safe/", BackendFault::TruncateBody, 200, 2),
        ("/safe/", BackendFault::InvalidBytes, 200, 2),
        ("/safe/", BackendFault::WrongRequestId, 200, 2),
        ("/safe/", BackendFault::WithoutStamp, 200, 2),
        ("/safe/", BackendFault::EncodeBody, 200, 2),
        ("/safe/", BackendFault::Status(500), 200, 2),
        ("/safe/", BackendFault::Status(503), 200, 2),
        ("/safe/", BackendFault::DelimitBodyByClose, 200, 1),
        ("/safe/", BackendFault::ExtraResponse, 200, 1),
        ("/safe/", BackendFault::LateExtraResponse, 200, 1),
        ("/safe/", BackendFault::Overloaded, 200, 1),
        // may have run: not retried
        ("/unsafe/", BackendFault::CloseBeforeResponse, 502, 1),
        ("/unsafe/", BackendFault::TruncateBody, 502, 1),
        ("/unsafe/", BackendFault::InvalidBytes, 502, 1),
        ("/unsafe/", BackendFault::WrongRequestId, 502, 1),
        ("/unsafe/", BackendFault::WithoutStamp, 502, 1),
        ("/unsafe/", BackendFault::EncodeBody, 502, 1),
        ("/unsafe/", BackendFault::Status(503), 502, 1),
        ("/unsafe/", BackendFault::Status(429), 502, 1),
        // an error status of the back end is passed on unchanged
        ("/unsafe/", BackendFault::Status(500), 500, 1),
        ("/unsafe/", BackendFault::Status(504), 504, 1),
        ("/unsafe/", BackendFault::DelimitBodyByClose, 200, 1),
        ("/unsafe/", BackendFault::ExtraResponse, 200, 1),
        ("/unsafe/", BackendFault::LateExtraResponse, 200, 1),
        // proved not to have run: retried
        ("/unsafe/", BackendFault::Overloaded, 200, 1),
    ];
    for (number, (route, fault, status, runs)) in cases.iter().enumerate() {
        let fleet = Fleet::start(FleetSettings {
            plain: 2,
            ..FleetSettings::default()
        })
        .await?;
        // among equal back ends the one with the lowest id is tried first
        let id = format!("r{number}");
        fleet.plain[0].set_fault(*fault, 1);
        let response = request(fleet.clients, &request_to(route, &id)).await?;
        let name = format!("{route} {fault:?}");
        assert_eq!(response.status, *status, "{name}");
        assert!(response.is_complete, "{name}");
        if response.status == 200 {
            assert_eq!(response.body, BACKEND_BODY, "{name}");
        }
        let all = fleet.plain.iter().flat_map(|b| b.runs());
        let of_request = all.filter(|run| run.request == id).count();
        assert_eq!(of_request, *runs, "{name}");
    }
    Ok(())
}

#[tokio::test]
async fn a_request_past_its_deadline_gets_504_and_releases_its_back_end() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        timeout_ms: 300,
        ..FleetSettings::default()
    })
    .await?;
    fleet.plain[0].set_fault(BackendFault::Unresponsive, 1);
    let response = request(fleet.clients, &request_to("/unsafe/", "r1")).await?;
    assert_eq!(response.status, 504);
    until("the back end is released", || {
        fleet.plain[0].runs()[0].has_client_disconnected
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn a_client_disconnect_releases_its_back_end() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.plain[0].set_fault(BackendFault::Unresponsive, 1);
    let waiting = tokio::spawn({
        let clients = fleet.clients;
        async move { request(clients, &request_to("/unsafe/", "r1")).await }
    });
    until("it runs", || fleet.plain[0].runs().len() == 1).await;
    waiting.abort();
    until("the back end is released", || {
        fleet.plain[0].runs()[0].has_client_disconnected
    })
    .await;
    Ok(())
}

/// Invalid heads and bodies are rejected by the ingress.
#[tokio::test]
async fn invalid_requests_are_rejected_and_not_forwarded() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let unknown_host = ClientRequest {
        host: "unknown.example".to_string(),
        ..request_to("/safe/", "r1")
    };
    let large_body = ClientRequest {
        body: vec![b'x'; 5_000],
        ..request_to("/unsafe/", "r2")
    };
    let long_head = ClientRequest {
        headers: vec![("X-Long".to_string(), "x".repeat(20_000))],
        ..request_to("/safe/", "r3")
    };
    let invalid_deadline = ClientRequest {
        headers: vec![("Chalkcart-Deadline-Ms".to_string(), "soon".to_string())],
        ..request_to("/safe/", "r4")
    };
    let malformed_head = ClientRequest {
        headers: vec![("bad name".to_string(), "x".to_string())],
        ..request_to("/safe/", "r5")
    };
    let cases = [
        ("unknown host", unknown_host, 404),
        ("unknown path", request_to("/none/", "r6"), 404),
        ("body over the limit", large_body, 413),
        ("head over the limit", long_head, 431),
        ("malformed head", malformed_head, 400),
    ];
    for (name, sent, status) in cases {
        let response = request(fleet.clients, &sent).await?;
        assert_eq!(response.status, status, "{name}");
    }
    // the first of two deadline headers counts, and it is valid
    assert_eq!(request(fleet.clients, &invalid_deadline).await?.status, 200);
    let runs = fleet.plain[0].runs();
    let ids: Vec<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    assert_eq!(ids, ["r4"]);
    Ok(())
}

#[tokio::test]
async fn without_a_configuration_each_path_gets_503_with_retry_after() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        should_publish_config: false,
        ..FleetSettings::default()
    })
    .await?;
    until("it serves", || fleet.log().contains("serves on")).await;
    assert!(!fleet.is_ready().await);
    let response = request(fleet.clients, &request_to("/none/", "r1")).await?;
    assert_eq!(response.status, 503);
    assert!(response.head.get("retry-after").is_some());
    Ok(())
}

#[tokio::test]
async fn without_a_back_end_a_request_is_rejected_early_with_retry_after() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: 0,
        ..FleetSettings::default()
    })
    .await?;
    let response = request(fleet.clients, &request_to("/unsafe/", "r1")).await?;
    assert_eq!(response.status, 503);
    let after: f64 = response
        .head
        .get("retry-after")
        .unwrap_or_default()
        .parse()?;
    assert!(after > 0.0);
    until("the cause is logged", || {
        fleet.log().contains("\"cause\":\"no_backend\"")
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_completes_requests_and_accepts_no_new_clients() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.plain[0].set_fault(BackendFault::Unresponsive, 1);
    let clients = fleet.clients;
    let running = tokio::spawn(async move {
        let sent = ClientRequest {
            deadline_ms: 1_500,
            ..request_to("/unsafe/", "r1")
        };
        request(clients, &sent).await
    });
    until("it runs", || fleet.plain[0].runs().len() == 1).await;
    fleet.ingress.terminate()?;
    until("it drains", || fleet.log().contains("drains after SIGTERM")).await;
    assert!(!fleet.is_ready().await);
    let during = request(fleet.clients, &request_to("/unsafe/", "r2")).await?;
    assert_eq!(during.status, 200, "open connections are served");
    assert_eq!(during.head.get("connection"), Some("close"));
    assert_eq!(
        running.await??.status,
        504,
        "ended by its deadline, not cut off"
    );
    let status = fleet.ingress.wait(Duration::from_secs(30)).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn each_decision_about_a_request_is_logged_with_its_id() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    request(fleet.clients, &request_to("/unsafe/", "r-in-log")).await?;
    until("the lines are written", || {
        let log = fleet.log();
        let lines = log.lines().filter(|line| line.contains("r-in-log"));
        lines.count() >= 2
    })
    .await;
    for line in fleet.log().lines() {
        let parsed: serde_json::Value = serde_json::from_str(line)?;
        for field in ["clock_ms", "uptime_ms", "node", "level", "part", "message"] {
            assert!(parsed.get(field).is_some(), "{field} in {line}");
        }
    }
    Ok(())
}

/// Clients overload one small back end, with and without honoring `Retry-After`: each attempt
/// gets one response or is counted as closed unread, no request runs twice, and none runs that was
/// rejected or closed.
#[tokio::test]
async fn under_overload_no_rejected_request_runs_and_none_runs_twice() -> Result<()> {
    for should_honor_retry_after in [true, false] {
        let fleet = Fleet::start(FleetSettings::default()).await?;
        {
            let mut state = fleet.plain[0].state();
            state.slots = 2;
            state.delay = Duration::from_millis(40);
        }
        let load = RetryingClients {
            requests: 60,
            gap: Duration::from_millis(5),
            retries: 2,
            should_honor_retry_after,
            should_retry_closed: true,
        };
        let histories =
            send_with_retries(fleet.clients, &request_to("/unsafe/", "p"), &load).await?;
        let runs = fleet.plain[0].runs();
        let ran = |id: &str| runs.iter().filter(|run| run.request == id).count();
        for history in &histories {
            for (id, response) in history.request_ids.iter().zip(&history.responses) {
                let expected = match response.status {
                    200 => 1,
                    503 => 0,
                    status => panic!("{id}: {status}"),
                };
                assert_eq!(ran(id), expected, "{id}");
                assert!(response.status == 200 || response.head.get("retry-after").is_some());
            }
            for id in &history.closed {
                assert_eq!(ran(id), 0, "{id}");
            }
        }
        let closed: usize = histories.iter().map(|history| history.closed.len()).sum();
        let counted = fleet.metric("chalkcart_ingress_connections_closed_unread_total");
        assert_eq!(counted.await, Some(closed as u64));
        let served = histories
            .iter()
            .filter(|s| s.responses.last().is_some_and(|a| a.status == 200));
        assert!(served.count() > 0);
    }
    Ok(())
}
