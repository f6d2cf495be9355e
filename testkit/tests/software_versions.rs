//! Streams of services whose engines run several software versions, over real processes.
//!
//! Guards against: a stream that goes on at another version than the one that began it, inside one
//! response or over its client's tries, and one that does not go on although its version serves.

mod versions_fixture;

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        users_platform::{open_stream, prompt, request, BackendFault, StreamFault},
        waiting::until_async,
    },
    std::time::Duration,
    tokio::time::sleep,
    versions_fixture::*,
};

const STREAMS: usize = 8;

/// Guards against: an entry that continues a stream at an engine of another version.
#[tokio::test]
async fn a_response_goes_on_at_the_version_that_began_it() -> Result<()> {
    let fleet = start(&["v1", "v2", "v1", "v2"]).await?;
    for number in 0..STREAMS {
        for engine in &fleet.engines {
            engine.set_fault(BackendFault::Cut(StreamFault::default()), 1);
        }
        let id = format!("r{number}");
        let response = request(fleet.clients, &prompt("a", &id)).await?;
        let events = events(&response);
        assert_eq!(versions(&events).len(), 1, "{id}: {events:?}");
        assert!(events.len() > 2, "{id} did not go on: {events:?}");
    }
    Ok(())
}

/// Guards against: a client's next try that goes on at another version, when the entry of the first
/// one has died.
#[tokio::test]
async fn a_client_takes_a_stream_up_at_the_version_that_began_it() -> Result<()> {
    let fleet = start(&["v1", "v2", "v1", "v2"]).await?;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        let mut other = fleet.start_other_ingress(&format!("front-{id}")).await?;
        fleet.wait_for_list(other.metrics).await;
        let before = lose_stream(other.clients, &id, || other.process.kill()).await?;
        let (last, _) = before.last().expect("an event");
        // the engine that began it would be chosen again
        let engine = engine_of(&fleet, &id);
        fleet.publish_engine(engine, "draining");
        fleet.wait_for_list(fleet.metrics).await;
        let next = take_up(&format!("{id}-next"), Some(&id), *last);
        let response = serve(fleet.clients, &next).await?;
        ensure!(response.status == 200, "{id}: {}", response.status);
        fleet.publish_engine(engine, "ready");
        let mut all = before.clone();
        all.extend(events(&response));
        let ids: Vec<u32> = all.iter().map(|(id, _)| *id).collect();
        assert_eq!(ids, (0..EVENTS).collect::<Vec<_>>(), "{id}");
        assert_eq!(versions(&all).len(), 1, "{id}: {all:?}");
    }
    Ok(())
}

/// Guards against: a third try, which names the attempt that brought the first event, that goes on at
/// another version.
#[tokio::test]
async fn a_third_try_goes_on_at_the_version_of_the_first() -> Result<()> {
    let fleet = start(&["v1", "v2", "v1", "v2"]).await?;
    for number in 0..STREAMS {
        let id = format!("r{number}");
        let mut first = fleet.start_other_ingress(&format!("first-{id}")).await?;
        fleet.wait_for_list(first.metrics).await;
        let mut all = lose_stream(first.clients, &id, || first.process.kill()).await?;
        for (attempt, should_end) in [("second", false), ("third", true)] {
            let last = all.last().expect("an event").0;
            let next = take_up(&format!("{id}-{attempt}"), Some(&id), last);
            for engine in &fleet.engines {
                let fault = match should_end {
                    true => BackendFault::None,
                    false => BackendFault::Cut(StreamFault::default()),
                };
                engine.set_fault(fault, 1);
            }
            let response = serve(fleet.clients, &next).await?;
            all.extend(events(&response));
        }
        assert_eq!(versions(&all).len(), 1, "{id}: {all:?}");
    }
    Ok(())
}

/// Guards against: a stream that began while one version served, and goes on at another that came
/// later.
#[tokio::test]
async fn a_stream_that_began_before_the_other_version_came_stays_at_its_own() -> Result<()> {
    let fleet = start(&["v1", "v1", "v1", "v1"]).await?;
    let mut other = fleet.start_other_ingress("front-2").await?;
    let before = lose_stream(other.clients, "r", || other.process.kill()).await?;
    let (last, _) = before.last().expect("an event");
    let engine = engine_of(&fleet, "r");
    for later in (0..4).filter(|e| *e != engine).take(2) {
        set_version(&fleet, later, "v2");
    }
    fleet.publish_engine(engine, "draining");
    fleet.wait_for_list(fleet.metrics).await;
    for number in 0..STREAMS {
        let next = take_up(&format!("next-{number}"), Some("r"), *last);
        let response = serve(fleet.clients, &next).await?;
        let events = events(&response);
        assert_eq!(versions(&events), ["v1"], "{events:?}");
    }
    Ok(())
}

/// Guards against: a guess where several versions serve and nobody knows which began the stream.
#[tokio::test]
async fn a_stream_of_unknown_origin_is_refused_while_several_versions_serve() -> Result<()> {
    let fleet = start(&["v1", "v2", "v1", "v2"]).await?;
    let other = fleet.start_other_ingress("front-2").await?;
    fleet.wait_for_list(other.metrics).await;
    for (number, first_attempt) in [Some("nobody"), None, Some("")].into_iter().enumerate() {
        let next = take_up(&format!("next-{number}"), first_attempt, 3);
        let response = request(other.clients, &next).await?;
        assert_eq!(response.status, 503, "{first_attempt:?}");
    }
    let runs = fleet.engines.iter().flat_map(|engine| engine.runs());
    assert_eq!(runs.count(), 0);
    Ok(())
}

/// Guards against: a stream that does not go on where no other version may have begun it.
#[tokio::test]
async fn a_stream_goes_on_anywhere_while_one_version_serves() -> Result<()> {
    let fleet = start(&["v1", "v1"]).await?;
    for (number, first_attempt) in [Some("nobody"), None].into_iter().enumerate() {
        let next = take_up(&format!("next-{number}"), first_attempt, 3);
        let response = serve(fleet.clients, &next).await?;
        assert_eq!(events(&response).len() as u32, EVENTS - 4);
    }
    until_async("the entry is ready", || fleet.is_ready()).await;
    Ok(())
}

/// Guards against: a stream that counts as older than the mix of versions, because the sidecars that
/// know its origin are frozen.
#[tokio::test]
async fn nothing_is_guessed_while_sidecars_do_not_answer() -> Result<()> {
    let fleet = start(&["v1", "v1", "v1", "v1"]).await?;
    for engine in 0..3 {
        set_version(&fleet, engine, "v2");
    }
    let mut other = fleet.start_other_ingress("front-2").await?;
    fleet.wait_for_list(other.metrics).await;
    fleet.wait_for_list(fleet.metrics).await;
    let before = lose_stream(other.clients, "r", || other.process.kill()).await?;
    let (last, version) = before.last().expect("an event");
    assert_eq!(version, "v2");
    for sidecar in &fleet.sidecars {
        sidecar.pause()?;
    }
    let response = request(fleet.clients, &take_up("next", Some("r"), *last)).await?;
    for sidecar in &fleet.sidecars {
        sidecar.resume()?;
    }
    assert_eq!(response.status, 503);
    let response = serve(fleet.clients, &take_up("again", Some("r"), *last)).await?;
    assert_eq!(versions(&events(&response)), ["v2"]);
    Ok(())
}

/// Guards against: a stream that runs while another version comes, and whose origin is lost with its
/// entry.
#[tokio::test]
async fn a_stream_that_runs_while_another_version_comes_is_kept() -> Result<()> {
    let fleet = start(&["v1", "v1", "v1", "v1"]).await?;
    for engine in &fleet.engines {
        engine.state().event_interval = 10 * EVENT_INTERVAL;
    }
    let mut other = fleet.start_other_ingress("front-2").await?;
    let mut stream = open_stream(other.clients, &prompt("a", "r")).await?;
    ensure!(stream.read_until("id: 0\n").await?, "ended early");
    let engine = engine_of(&fleet, "r");
    for later in (0..4).filter(|e| *e != engine).take(2) {
        set_version(&fleet, later, "v2");
    }
    fleet.wait_for_list(other.metrics).await;
    fleet.wait_for_list(fleet.metrics).await;
    // streams from before are not told any more
    sleep(Duration::from_millis(5_100)).await;
    other.process.kill()?;
    let before = events(&stream.finish().await?);
    let (last, _) = before.last().expect("an event");
    fleet.publish_engine(engine, "draining");
    fleet.wait_for_list(fleet.metrics).await;
    let response = serve(fleet.clients, &take_up("next", Some("r"), *last)).await?;
    assert_eq!(versions(&events(&response)), ["v1"]);
    Ok(())
}
