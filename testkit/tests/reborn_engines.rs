//! Engines that restart under the same name, and records written by others, over real processes.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            engine_runs, open_stream, prompt, request, serve_prompt, ClientRequest, Fleet,
            FleetSettings, FIRST_START_TIME_MS,
        },
        waiting::{until, until_async},
    },
    serde_json::json,
    std::time::Duration,
};

fn request_to(target: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        ..ClientRequest::default()
    }
}

/// Returns the number of unreadable records on the metrics page.
async fn unreadable_records(fleet: &Fleet) -> u64 {
    let text = fleet.metrics_text().await;
    let rows = text
        .lines()
        .filter(|l| l.contains("unreadable_records_total{"));
    let counts = rows.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok());
    counts.sum()
}

async fn start(engines: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        engines,
        ..FleetSettings::default()
    })
    .await
}

/// The list has the previous incarnation throughout.
#[tokio::test]
async fn a_restarted_engine_loads_each_model_once() -> Result<()> {
    let fleet = start(1).await?;
    serve_prompt(&fleet, "a", "r1").await?;
    let engine = &fleet.engines[0];
    for incarnation in 1..=3 {
        // the base model is missing only once, since base models are seldom loaded
        engine.restart(FIRST_START_TIME_MS + incarnation);
        engine.state().orders.is_base_model_missing = incarnation == 1;
        let id = format!("of-{incarnation}");
        assert_eq!(serve_prompt(&fleet, "a", &id).await?.status, 200);
        assert_eq!(engine_runs(&fleet, &id), 1);
        let orders = engine.orders();
        let loads = |adapter: &str| orders.iter().filter(|o| o.adapter == adapter).count();
        assert_eq!(loads(""), usize::from(incarnation == 1), "{orders:?}");
        assert_eq!(loads("a"), 1, "{orders:?}");
    }
    Ok(())
}

/// A stream that ended with the previous incarnation may have run, so it is not run again.
#[tokio::test]
async fn requests_of_a_previous_incarnation_are_not_run_again() -> Result<()> {
    let fleet = start(2).await?;
    serve_prompt(&fleet, "a", "r1").await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        (state.event_count, state.event_interval) = (1_000, Duration::from_millis(20));
    }
    let stream = open_stream(fleet.clients, &prompt("a", "r2")).await?;
    until("it runs", || engine_runs(&fleet, "r2") == 1).await;
    for engine in &fleet.engines {
        engine.restart(FIRST_START_TIME_MS + 1);
    }
    until("the stream has ended", || {
        fleet.log().contains("\"broken\"")
    })
    .await;
    drop(stream);
    for engine in &fleet.engines {
        engine.state().event_count = 3;
    }
    assert_eq!(serve_prompt(&fleet, "a", "r3").await?.status, 200);
    assert_eq!(engine_runs(&fleet, "r2"), 1);
    Ok(())
}

#[tokio::test]
async fn a_back_end_with_an_unreadable_record_is_not_used() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: 2,
        ..FleetSettings::default()
    })
    .await?;
    let runs = |number: usize| fleet.plain[number].runs().len();
    let unreadable_writes: [&dyn Fn(); 3] = [
        &|| fleet.store.put_bytes("servers/p-0", b"\xff\xfe"),
        &|| fleet.store.put_text("servers/p-0", "no base64!"),
        &|| {
            let record = json!({"Service": 4, "Address": fleet.plain[0].addr});
            fleet.store.put("servers/p-0", record);
        },
    ];
    for (number, make_unreadable) in unreadable_writes.into_iter().enumerate() {
        make_unreadable();
        until_async("the unreadable record is counted", || async {
            unreadable_records(&fleet).await > number as u64
        })
        .await;
        until_async("the back end receives no requests", || async {
            let before = runs(0);
            for _ in 0..4 {
                let response = request(fleet.clients, &request_to("/safe/")).await;
                if !response.is_ok_and(|a| a.status == 200) {
                    return false;
                }
            }
            runs(0) == before
        })
        .await;
        fleet.publish_plain(0, "ready");
        until_async("it is used again", || async {
            let before = runs(0);
            let response = request(fleet.clients, &request_to("/safe/")).await;
            response.is_ok() && runs(0) > before
        })
        .await;
    }
    Ok(())
}
