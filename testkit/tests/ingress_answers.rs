//! what clients of the ingress get, and what back ends see, over real
//! processes; each case causes one fault of a back end

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

const WHOLE: &[u8] = b"the whole answer";

fn to(target: &str, id: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        id: id.to_string(),
        ..ClientRequest::default()
    }
}

#[tokio::test]
async fn a_request_reaches_its_back_end_unchanged_and_its_answer_comes_back_whole() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let sent = ClientRequest {
        headers: vec![
            ("X-Own".to_string(), "kept".to_string()),
            ("Connection".to_string(), "X-Hop".to_string()),
            ("X-Hop".to_string(), "dropped".to_string()),
        ],
        body: b"a body".to_vec(),
        ..to("/unsafe/a%2Fb/../c?q=1&q=2", "r1")
    };
    let answer = request(fleet.clients, &sent).await?;
    assert_eq!((answer.status, answer.body.as_slice()), (200, WHOLE));
    assert!(answer.is_complete);
    assert_eq!(answer.head.get("chalkcart-response-stamp"), Some("stamp"));
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
    let left: u64 = run.headers["chalkcart-deadline-ms"].parse()?;
    assert!(left <= 8_000, "{left}: no more than the route allows");
    Ok(())
}

/// one fault of one back end of two: what a client gets, and how often the
/// request runs
#[tokio::test]
async fn faults_of_a_back_end() -> Result<()> {
    let cases: &[(&str, BackendFault, u16, usize)] = &[
        // it may be repeated once, at the other back end
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
        // it runs at most once, and nothing says that it did not run
        ("/unsafe/", BackendFault::CloseBeforeResponse, 502, 1),
        ("/unsafe/", BackendFault::TruncateBody, 502, 1),
        ("/unsafe/", BackendFault::InvalidBytes, 502, 1),
        ("/unsafe/", BackendFault::WrongRequestId, 502, 1),
        ("/unsafe/", BackendFault::WithoutStamp, 502, 1),
        ("/unsafe/", BackendFault::EncodeBody, 502, 1),
        ("/unsafe/", BackendFault::Status(503), 502, 1),
        ("/unsafe/", BackendFault::Status(429), 502, 1),
        // a failure of its own goes back as it is
        ("/unsafe/", BackendFault::Status(500), 500, 1),
        ("/unsafe/", BackendFault::Status(504), 504, 1),
        ("/unsafe/", BackendFault::DelimitBodyByClose, 200, 1),
        ("/unsafe/", BackendFault::ExtraResponse, 200, 1),
        ("/unsafe/", BackendFault::LateExtraResponse, 200, 1),
        // proof that it did not run
        ("/unsafe/", BackendFault::Overloaded, 200, 1),
    ];
    for (number, (route, fault, status, runs)) in cases.iter().enumerate() {
        let fleet = Fleet::start(FleetSettings {
            plain: 2,
            ..FleetSettings::default()
        })
        .await?;
        // of equal back ends the one with the lowest id is asked first
        let id = format!("r{number}");
        fleet.plain[0].set_fault(*fault, 1);
        let answer = request(fleet.clients, &to(route, &id)).await?;
        let name = format!("{route} {fault:?}");
        assert_eq!(answer.status, *status, "{name}");
        assert!(answer.is_complete, "{name}");
        if answer.status == 200 {
            assert_eq!(answer.body, WHOLE, "{name}");
        }
        let all = fleet.plain.iter().flat_map(|b| b.runs());
        let of_request = all.filter(|run| run.request == id).count();
        assert_eq!(of_request, *runs, "{name}");
    }
    Ok(())
}

#[tokio::test]
async fn a_request_that_is_over_its_time_gets_504_and_its_back_end_is_freed() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        timeout_ms: 300,
        ..FleetSettings::default()
    })
    .await?;
    fleet.plain[0].set_fault(BackendFault::Unresponsive, 1);
    let answer = request(fleet.clients, &to("/unsafe/", "r1")).await?;
    assert_eq!(answer.status, 504);
    until("the back end is freed", || {
        fleet.plain[0].runs()[0].client_disconnected
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn a_client_that_leaves_frees_its_back_end() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.plain[0].set_fault(BackendFault::Unresponsive, 1);
    let waiting = tokio::spawn({
        let clients = fleet.clients;
        async move { request(clients, &to("/unsafe/", "r1")).await }
    });
    until("it runs", || fleet.plain[0].runs().len() == 1).await;
    waiting.abort();
    until("the back end is freed", || {
        fleet.plain[0].runs()[0].client_disconnected
    })
    .await;
    Ok(())
}

/// heads and bodies that must go no further
#[tokio::test]
async fn bad_input_is_answered_and_nothing_is_sent_on() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    let no_host = ClientRequest {
        host: "unknown.example".to_string(),
        ..to("/safe/", "r1")
    };
    let too_large = ClientRequest {
        body: vec![b'x'; 5_000],
        ..to("/unsafe/", "r2")
    };
    let long_head = ClientRequest {
        headers: vec![("X-Long".to_string(), "x".repeat(20_000))],
        ..to("/safe/", "r3")
    };
    let bad_deadline = ClientRequest {
        headers: vec![("Chalkcart-Deadline-Ms".to_string(), "soon".to_string())],
        ..to("/safe/", "r4")
    };
    let bad_head = ClientRequest {
        headers: vec![("bad name".to_string(), "x".to_string())],
        ..to("/safe/", "r5")
    };
    let cases = [
        ("unknown host", no_host, 404),
        ("unknown path", to("/none/", "r6"), 404),
        ("body over the limit", too_large, 413),
        ("head over the limit", long_head, 431),
        ("malformed head", bad_head, 400),
    ];
    for (name, sent, status) in cases {
        let answer = request(fleet.clients, &sent).await?;
        assert_eq!(answer.status, status, "{name}");
    }
    // the first of two values counts, and it is good
    assert_eq!(request(fleet.clients, &bad_deadline).await?.status, 200);
    let runs = fleet.plain[0].runs();
    let ids: Vec<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    assert_eq!(ids, ["r4"]);
    Ok(())
}

#[tokio::test]
async fn before_any_configuration_each_path_gets_503_with_a_time_to_come_back() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        publish_config: false,
        ..FleetSettings::default()
    })
    .await?;
    until("it serves", || fleet.log().contains("serves on")).await;
    assert!(!fleet.is_ready().await);
    let answer = request(fleet.clients, &to("/none/", "r1")).await?;
    assert_eq!(answer.status, 503);
    assert!(answer.head.get("retry-after").is_some());
    Ok(())
}

#[tokio::test]
async fn no_back_end_means_an_early_refusal_that_says_when_to_come_back() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: 0,
        ..FleetSettings::default()
    })
    .await?;
    let answer = request(fleet.clients, &to("/unsafe/", "r1")).await?;
    assert_eq!(answer.status, 503);
    let after: f64 = answer.head.get("retry-after").unwrap_or_default().parse()?;
    assert!(after > 0.0);
    until("the cause is logged", || {
        fleet.log().contains("\"cause\":\"no_backend\"")
    })
    .await;
    Ok(())
}

#[tokio::test]
async fn a_planned_stop_lets_requests_end_and_takes_no_new_clients() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings::default()).await?;
    fleet.plain[0].set_fault(BackendFault::Unresponsive, 1);
    let clients = fleet.clients;
    let running = tokio::spawn(async move {
        let sent = ClientRequest {
            deadline_ms: 1_500,
            ..to("/unsafe/", "r1")
        };
        request(clients, &sent).await
    });
    until("it runs", || fleet.plain[0].runs().len() == 1).await;
    fleet.ingress.terminate()?;
    until("it drains", || fleet.log().contains("drains after SIGTERM")).await;
    assert!(!fleet.is_ready().await);
    let during = request(fleet.clients, &to("/unsafe/", "r2")).await?;
    assert_eq!(during.status, 200, "connections on their way are served");
    assert_eq!(during.head.get("connection"), Some("close"));
    assert_eq!(running.await??.status, 504, "its own end, not a cut");
    let status = fleet.ingress.wait(Duration::from_secs(30)).await?;
    assert_eq!(status.code(), Some(0));
    Ok(())
}

#[tokio::test]
async fn each_decision_about_a_request_is_in_the_log_with_its_id() -> Result<()> {
    let fleet = Fleet::start(FleetSettings::default()).await?;
    request(fleet.clients, &to("/unsafe/", "r-in-log")).await?;
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

/// clients that press on one small back end, patient ones and those that come
/// back at once: each try gets one final answer, and nothing runs twice or
/// after a refusal
#[tokio::test]
async fn under_pressure_each_refusal_is_true_and_nothing_runs_twice() -> Result<()> {
    for honors_retry_after in [true, false] {
        let fleet = Fleet::start(FleetSettings::default()).await?;
        {
            let mut state = fleet.plain[0].state();
            state.slots = 2;
            state.delay = Duration::from_millis(40);
        }
        let how = RetryingClients {
            requests: 60,
            gap: Duration::from_millis(5),
            retries: 2,
            honors_retry_after,
        };
        let histories = send_with_retries(fleet.clients, &to("/unsafe/", "p"), &how).await?;
        let runs = fleet.plain[0].runs();
        let ran = |id: &str| runs.iter().filter(|run| run.request == id).count();
        for history in &histories {
            for (id, answer) in history.request_ids.iter().zip(&history.responses) {
                let expected = match answer.status {
                    200 => 1,
                    503 => 0,
                    other => panic!("{id}: {other}"),
                };
                assert_eq!(ran(id), expected, "{id}");
                assert!(answer.status == 200 || answer.head.get("retry-after").is_some());
            }
        }
        let served = histories
            .iter()
            .filter(|s| s.responses.last().is_some_and(|a| a.status == 200));
        assert!(served.count() > 0);
    }
    Ok(())
}
