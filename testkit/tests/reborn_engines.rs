//! engines that start again under their name, and records of other writers, over real
//! processes

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

fn plain(target: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        ..ClientRequest::default()
    }
}

/// records that could not be read, by the metrics page
async fn unreadable(fleet: &Fleet) -> u64 {
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

/// the list shows the former life all the while
#[tokio::test]
async fn an_engine_that_starts_again_is_given_all_anew_once() -> Result<()> {
    let fleet = start(1).await?;
    serve_prompt(&fleet, "a", "r1").await?;
    let engine = &fleet.engines[0];
    for life in 1..=3 {
        // the weight store is asked for a base model once in a while only
        engine.restart(FIRST_START_TIME_MS + life);
        engine.state().orders.is_base_model_missing = life == 1;
        let id = format!("of-{life}");
        assert_eq!(serve_prompt(&fleet, "a", &id).await?.status, 200);
        assert_eq!(engine_runs(&fleet, &id), 1);
        let orders = engine.orders();
        let loads = |adapter: &str| orders.iter().filter(|o| o.adapter == adapter).count();
        assert_eq!(loads(""), usize::from(life == 1), "{orders:?}");
        assert_eq!(loads("a"), 1, "{orders:?}");
    }
    Ok(())
}

/// a stream that broke with the former life may have run, and is not run again
#[tokio::test]
async fn what_ran_in_the_former_life_is_not_repeated() -> Result<()> {
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
async fn a_record_of_another_writer_names_no_back_end_to_use() -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        plain: 2,
        ..FleetSettings::default()
    })
    .await?;
    let runs = |number: usize| fleet.plain[number].runs().len();
    let bad: [&dyn Fn(); 3] = [
        &|| fleet.store.put_bytes("servers/p-0", b"\xff\xfe"),
        &|| fleet.store.put_text("servers/p-0", "no base64!"),
        &|| {
            let row = json!({"Service": 4, "Address": fleet.plain[0].addr});
            fleet.store.put("servers/p-0", row);
        },
    ];
    for (number, spoil) in bad.into_iter().enumerate() {
        spoil();
        until_async("it is noticed", || async {
            unreadable(&fleet).await > number as u64
        })
        .await;
        until_async("nothing more goes there", || async {
            let before = runs(0);
            for _ in 0..4 {
                let answer = request(fleet.clients, &plain("/safe/")).await;
                if !answer.is_ok_and(|a| a.status == 200) {
                    return false;
                }
            }
            runs(0) == before
        })
        .await;
        fleet.publish_plain(0, "ready");
        until_async("it is used again", || async {
            let before = runs(0);
            let answer = request(fleet.clients, &plain("/safe/")).await;
            answer.is_ok() && runs(0) > before
        })
        .await;
    }
    Ok(())
}
