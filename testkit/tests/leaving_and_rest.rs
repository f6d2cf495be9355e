//! Back ends that say in the heads of their answers that they leave, or that they want rest.
//!
//! Seen: an engine that had said so in an answer got more requests 2 and 5 s later from the
//! entry that had passed the answer on; one that turned requests away and asked for 3 s of
//! rest got 25 within that time.
//!
//! How it came about: the record of the one that left reached nobody while the store was
//! silent for 13 s; the others were tried again 60 ms after each refusal.
//! Cause: of an answer's head only what a repeat needs was read; what a back end says of
//! itself was dropped at the border, and its record in the store was all that counted.
//! Proof: the lines of decisions show it among the candidates after the answer had passed,
//! with a list that had not changed; with its word told to the dispatcher nothing goes there.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            press, prompt, request, serve_prompt, BackendFault, BackendStandIn, ClientRequest,
            Fleet, FleetSettings, Pressing, StoreFault,
        },
        waiting::until,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// of the settings of the fleet: a back end that leaves gets nothing after it
const DRAIN: Duration = Duration::from_millis(2_000);
/// time for the request for rest to reach the caller
const KNOWN_AFTER: Duration = Duration::from_millis(500);
/// requests that may come while a back end rests
const MOST_IN_A_REST: usize = 2;
const REST: Duration = Duration::from_millis(1_500);
/// more requests than any rest of these tests would let through
const MANY: u32 = 60;

async fn engines(engines: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        engines,
        ..FleetSettings::default()
    })
    .await
}

async fn plain(plain: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        plain,
        ..FleetSettings::default()
    })
    .await
}

fn safe(id: &str) -> ClientRequest {
    ClientRequest {
        target: "/safe/".to_string(),
        id: id.to_string(),
        ..ClientRequest::default()
    }
}

/// many requests in a row; clients that come back do so when they are told to
fn pressing(retries: u32) -> Pressing {
    Pressing {
        requests: MANY,
        gap: Duration::from_millis(50),
        retries,
        heeds_retry_after: true,
    }
}

/// the engine that ran a request
fn that_ran<'f>(fleet: &'f Fleet, id: &str) -> &'f BackendStandIn {
    let mut all = fleet.engines.iter();
    let found = all.find(|e| e.runs().iter().any(|run| run.request == id));
    found.expect("an engine ran it")
}

/// requests that came to a back end since a moment
fn came_since(backend: &BackendStandIn, at: Instant) -> Vec<String> {
    let state = backend.state();
    let since = state.arrivals.iter().filter(|(came, _)| *came > at);
    since.map(|(_, id)| id.clone()).collect()
}

/// the store is silent meanwhile, so that the list goes on naming it as ready
#[tokio::test]
async fn an_engine_that_says_that_it_leaves_gets_nothing_more() -> Result<()> {
    let fleet = engines(2).await?;
    serve_prompt(&fleet, "a", "first").await?;
    fleet.store.set_fault(StoreFault::Silent);
    let leaving = that_ran(&fleet, "first");
    leaving.state().says_leaving = true;
    let answer = serve_prompt(&fleet, "a", "told").await?;
    assert_eq!(answer.head.get("server-leaving"), Some("1"));
    let told = Instant::now();
    sleep(DRAIN).await;
    for number in 0..4 {
        let answer = serve_prompt(&fleet, "a", &format!("after-{number}")).await?;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(came_since(leaving, told + DRAIN), Vec::<String>::new());
    Ok(())
}

/// its record in the store says `ready`, changes, goes and comes again
#[tokio::test]
async fn its_record_does_not_take_its_word_back() -> Result<()> {
    let fleet = plain(2).await?;
    fleet.plain[0].state().says_leaving = true;
    let mut told = false;
    for number in 0..MANY {
        let answer = request(fleet.clients, &safe(&format!("before-{number}"))).await?;
        told |= answer.head.get("server-leaving").is_some();
        if told {
            break;
        }
    }
    assert!(told, "no answer said that its back end leaves");
    let at = Instant::now();
    fleet.list_plain(0, "draining");
    sleep(DRAIN / 4).await;
    fleet
        .store
        .delete(&format!("servers/{}", fleet.plain[0].id()));
    sleep(DRAIN / 2).await;
    fleet.list_plain(0, "ready");
    sleep(DRAIN / 2).await;
    for number in 0..MANY {
        let answer = request(fleet.clients, &safe(&format!("after-{number}"))).await?;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(
        came_since(&fleet.plain[0], at + DRAIN),
        Vec::<String>::new()
    );
    Ok(())
}

/// another copy of the service has places
#[tokio::test]
async fn a_back_end_that_asks_for_rest_gets_it() -> Result<()> {
    let fleet = plain(2).await?;
    let resting = &fleet.plain[0];
    resting.state().asks_rest = Some(REST);
    resting.set_fault(BackendFault::Shed, u32::MAX);
    let how = pressing(0);
    let stories = press(fleet.clients, &safe("pressed"), &how).await?;
    let state = resting.state();
    assert!(!state.rests.is_empty());
    let most = state.most_in_a_rest(KNOWN_AFTER);
    assert!(most <= MOST_IN_A_REST, "{most} requests came in a rest");
    let mut answers = stories.iter().flat_map(|s| &s.answers);
    assert!(answers.all(|answer| answer.status == 200));
    Ok(())
}

/// prompts for an adapter that it alone holds go elsewhere
#[tokio::test]
async fn an_engine_that_asks_for_rest_gets_it() -> Result<()> {
    let fleet = engines(2).await?;
    serve_prompt(&fleet, "a", "first").await?;
    let resting = that_ran(&fleet, "first");
    resting.state().asks_rest = Some(REST);
    resting.set_fault(BackendFault::Shed, u32::MAX);
    let how = pressing(3);
    let stories = press(fleet.clients, &prompt("a", "pressed"), &how).await?;
    let state = resting.state();
    assert!(!state.rests.is_empty());
    let most = state.most_in_a_rest(KNOWN_AFTER);
    assert!(most <= MOST_IN_A_REST, "{most} requests came in a rest");
    let last = stories.iter().filter_map(|s| s.answers.last());
    let served = last.filter(|a| a.status == 200).count();
    assert!(served * 2 > stories.len(), "{served} served");
    Ok(())
}

/// nobody else can serve, so what comes is refused at once and told when to come back
#[tokio::test]
async fn a_service_that_rests_as_a_whole_gets_it() -> Result<()> {
    let fleet = plain(1).await?;
    let resting = &fleet.plain[0];
    resting.state().asks_rest = Some(REST);
    resting.set_fault(BackendFault::Shed, u32::MAX);
    let how = pressing(0);
    let stories = press(fleet.clients, &safe("pressed"), &how).await?;
    let most = resting.state().most_in_a_rest(KNOWN_AFTER);
    assert!(most <= MOST_IN_A_REST, "{most} requests came in a rest");
    let answers = stories.iter().flat_map(|s| &s.answers);
    assert!(answers.clone().all(|a| a.status == 503));
    Ok(())
}

/// the rest is over: requests are served again
#[tokio::test]
async fn a_back_end_is_used_again_after_its_rest() -> Result<()> {
    let fleet = plain(1).await?;
    let resting = &fleet.plain[0];
    resting.state().asks_rest = Some(REST);
    resting.set_fault(BackendFault::Shed, 1);
    request(fleet.clients, &safe("shed")).await?;
    sleep(REST).await;
    let answer = request(fleet.clients, &safe("after")).await?;
    assert_eq!(answer.status, 200);
    Ok(())
}

/// its sidecar gives it orders, reads its reports and asks for its name
#[tokio::test]
async fn an_engine_that_turns_orders_away_gets_its_rest_from_its_sidecar() -> Result<()> {
    let fleet = engines(2).await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.asks_rest = Some(REST);
        state.turns_orders_away = true;
    }
    // each makes an engine wanted for an adapter that it lacks
    for number in 0..4 {
        let asked = ClientRequest {
            deadline_ms: 300,
            ..prompt(&format!("a{number}"), &format!("p-{number}"))
        };
        request(fleet.clients, &asked).await?;
    }
    sleep(REST * 2).await;
    let rests: usize = fleet.engines.iter().map(|e| e.state().rests.len()).sum();
    assert!(rests > 0, "no order came");
    for engine in &fleet.engines {
        let most = engine.state().most_in_a_rest(KNOWN_AFTER);
        assert!(most <= MOST_IN_A_REST, "{most} calls came in a rest");
    }
    Ok(())
}

/// its sidecar reads it, and tells the entry that has had no answer of it
#[tokio::test]
async fn an_entry_knows_by_the_sidecar_that_an_engine_leaves() -> Result<()> {
    let fleet = engines(2).await?;
    serve_prompt(&fleet, "a", "first").await?;
    fleet.store.set_fault(StoreFault::Silent);
    let leaving = that_ran(&fleet, "first");
    leaving.state().says_leaving = true;
    sleep(DRAIN).await;
    let told = Instant::now();
    for number in 0..4 {
        let answer = serve_prompt(&fleet, "a", &format!("after-{number}")).await?;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(came_since(leaving, told), Vec::<String>::new());
    Ok(())
}

/// Seen: of an engine that was replaced the line that says that it leaves was missing, as its
/// sidecar went on as the one of the engine before, which had said so too
#[tokio::test]
async fn each_engine_that_leaves_is_named_in_its_sidecars_log() -> Result<()> {
    let fleet = engines(1).await?;
    let lines = |log: String| log.matches("signals received").count();
    let engine = &fleet.engines[0];
    for life in 1..=2 {
        let identified = format!("identified as Some(\\\"{}\\\")", engine.id());
        until("the sidecar knows it", || {
            fleet.sidecar_log(0).contains(&identified)
        })
        .await;
        engine.state().says_leaving = true;
        until("its word is logged", || lines(fleet.sidecar_log(0)) == life).await;
        let mut state = engine.state();
        state.says_leaving = false;
        state.crash();
    }
    Ok(())
}
