//! What processes that have just started do while nobody can tell them what was before.
//!
//! Guards against: a fact that is not known yet, taken for one that does not hold.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            engine_runs, max_requests_in_window, prompt, request, send_with_retries, serve_prompt,
            ClientRequest, Fleet, FleetSettings, RetryingClients, LIMIT_GRACE, LIMIT_WINDOW,
        },
        waiting::until_async,
    },
    futures::future::try_join_all,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time after which no request may begin on an older version of its adapter.
const VERSION_TIME: Duration = Duration::from_millis(5_000);
/// Time in which the entry that started is asked: longer than it permits older versions of one that
/// it sees being announced.
const ASKED_FOR: Duration = Duration::from_millis(3_000);

/// The limit that a back end names.
const LIMIT_PER_S: f64 = 2.0;

/// Guards against: requests that begin on an outdated version at entries that were all killed since
/// it was announced, since they take the version for one that was announced as they started.
#[tokio::test]
async fn no_request_begins_on_an_outdated_version_after_all_entries_were_killed() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    serve_prompt(&fleet, "a", "before").await?;
    // the engine can't be brought up to date
    fleet.engines[0].state().should_reject_orders = true;
    let newer = json!({"Model": "m", "Adapter": "a", "Version": 2});
    fleet.store.put("op/version/m.a", newer);
    sleep(VERSION_TIME).await;
    fleet.ingress.kill()?;
    fleet.restart_ingress()?;
    fleet.wait_ready().await;
    let started = Instant::now();
    let mut begun = Vec::new();
    while started.elapsed() < ASKED_FOR {
        let id = format!("after-{}", started.elapsed().as_millis());
        request(fleet.clients, &prompt("a", &id)).await?;
        if engine_runs(&fleet, &id) > 0 {
            begun.push(id);
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(begun, Vec::<String>::new());

    {
        let mut state = fleet.engines[0].state();
        state.orders.versions.insert("a".to_string(), 2);
        state.should_reject_orders = false;
    }
    assert_eq!(serve_prompt(&fleet, "a", "newer").await?.status, 200);
    let runs = fleet.engines[0].runs();
    let last = runs.last().expect("a run");
    assert_eq!(last.headers["chalkcart-expect-version"], "2");
    Ok(())
}

/// Guards against: entries that were all killed and send a back end as many requests as it has slots,
/// since they take a limit that they don't know yet for none.
#[tokio::test]
async fn entries_that_were_all_killed_honor_the_limit_that_a_replica_named_before() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    let mut others = vec![
        fleet.start_other_ingress("front-2").await?,
        fleet.start_other_ingress("front-3").await?,
    ];
    fleet.plain[0].state().advertised_limit = Some(LIMIT_PER_S);
    let entries = [fleet.clients, others[0].clients, others[1].clients];
    let metrics_pages = [fleet.metrics, others[0].metrics, others[1].metrics];
    burst_at_all(&entries, "before").await?;
    sleep(LIMIT_GRACE).await;

    fleet.ingress.kill()?;
    for other in &mut others {
        other.process.kill()?;
    }
    fleet.restart_ingress()?;
    for other in &mut others {
        fleet.restart_other(other)?;
    }
    fleet.wait_ready().await;
    for (entry, metrics) in entries.iter().zip(metrics_pages) {
        fleet.wait_for_list(metrics).await;
        until_async("the configuration is known", || {
            is_unknown_path_rejected(*entry)
        })
        .await;
    }
    let since = Instant::now();
    burst_at_all(&entries, "after").await?;
    let arrived = fleet.plain[0]
        .state()
        .max_arrivals_within(LIMIT_WINDOW, since);
    let allowed = max_requests_in_window(LIMIT_PER_S);
    assert!(
        arrived <= allowed,
        "{arrived} requests in 4 s, {allowed} allowed"
    );
    Ok(())
}

async fn is_unknown_path_rejected(entry: SocketAddr) -> bool {
    let sent = ClientRequest {
        target: "/unknown/".to_string(),
        ..ClientRequest::default()
    };
    request(entry, &sent)
        .await
        .is_ok_and(|response| response.status == 404)
}

/// Sends more requests than a back end has slots to all entries at one moment.
async fn burst_at_all(entries: &[SocketAddr], id: &str) -> Result<()> {
    let burst = RetryingClients {
        requests: 40,
        gap: Duration::ZERO,
        retries: 0,
        should_honor_retry_after: false,
        should_retry_closed: false,
    };
    let loads = entries.iter().enumerate().map(|(number, entry)| {
        let sent = ClientRequest {
            target: "/safe/".to_string(),
            id: format!("{id}-{number}"),
            ..ClientRequest::default()
        };
        let burst = &burst;
        async move { send_with_retries(*entry, &sent, burst).await }
    });
    try_join_all(loads).await?;
    Ok(())
}
