//! Routes and client accounts that name the regions in which they may be served, over processes
//! in three regions.
//!
//! Cause: nothing read the regions that a configuration allows; with the comparison left out,
//! each of these tests fails.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            prompt, request, ClientRequest, ClientResponse, Fleet, FleetSettings, StoreFault,
        },
        waiting::until_async,
    },
    serde_json::{json, Value},
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

const PLACES: [(&str, &str); 3] = [("z-n", "north"), ("z-m", "middle"), ("z-s", "south")];
/// more than any choice by chance would leave in one region
const MANY: usize = 24;
/// of the settings of the fleet: a change is in force everywhere after it
const APPLIED: Duration = Duration::from_millis(2_000);

async fn three_regions(engines: u8, plain: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        zones: PLACES.to_vec(),
        engines,
        plain,
        ..FleetSettings::default()
    })
    .await
}

/// bind the route of a number in the configuration
fn bind(fleet: &mut Fleet, route: usize, regions: Value) {
    fleet.configure(|document| document["Routes"][route]["AllowedRegions"] = regions);
}

fn safe(id: usize) -> ClientRequest {
    ClientRequest {
        target: "/safe/".to_string(),
        id: format!("r-{id}"),
        ..ClientRequest::default()
    }
}

async fn statuses(entry: SocketAddr, from: usize) -> Result<Vec<u16>> {
    let mut statuses = Vec::new();
    for id in from..from + MANY {
        statuses.push(request(entry, &safe(id)).await?.status);
    }
    Ok(statuses)
}

fn runs_of(fleet: &Fleet) -> Vec<usize> {
    let runs = fleet.plain.iter().map(|b| b.runs().len());
    runs.collect()
}

/// Guards against: requests that are served in a region that their route does not allow,
/// whichever entry they come to.
#[tokio::test]
async fn a_bound_route_is_served_in_its_regions_alone() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    bind(&mut fleet, 0, json!(["south"]));
    sleep(APPLIED).await;
    let middle = fleet
        .start_other_ingress_in_zone("front-m", PLACES[1].0)
        .await?;
    let before = runs_of(&fleet);
    let mut answers = statuses(fleet.clients, 0).await?;
    answers.extend(statuses(middle.clients, MANY).await?);
    assert!(answers.iter().all(|status| *status == 200));
    let after = runs_of(&fleet);
    assert_eq!(after[..2], before[..2]);
    assert_eq!(after[2], before[2] + 2 * MANY);
    Ok(())
}

/// Guards against: requests that go elsewhere, or are held, when the regions have no back end
/// left; the store is silent, so that the list goes on naming the one that has ended.
#[tokio::test]
async fn it_is_refused_when_its_regions_are_lost() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    bind(&mut fleet, 0, json!(["south"]));
    sleep(APPLIED).await;
    fleet.store.set_fault(StoreFault::Unresponsive);
    fleet.plain[2].state().crash();
    fleet.plain[2].state().restart_delay = APPLIED;
    let before = runs_of(&fleet);
    let answers = statuses(fleet.clients, 0).await?;
    assert!(answers.iter().all(|status| [502, 503].contains(status)));
    assert_eq!(runs_of(&fleet)[..2], before[..2]);
    fleet.store.set_fault(StoreFault::None);
    fleet.store.delete(&format!("servers/{}", "p-2"));
    until_async("a refusal says why", || async {
        let refused = request(fleet.clients, &safe(99)).await;
        refused.is_ok_and(|answer| answer.status == 503) && fleet.log().contains("outside_regions")
    })
    .await;
    assert!(fleet.log().contains("\"regions\":\"south\""));
    let counted = "outside_regions_total";
    assert!(fleet.metrics_text().await.contains(counted));
    Ok(())
}

/// Guards against: a change of the bound that does not reach what is served after it.
#[tokio::test]
async fn a_change_binds_what_comes_after_it() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    for (region, number) in [("south", 2), ("middle", 1)] {
        bind(&mut fleet, 0, json!([region]));
        sleep(APPLIED).await;
        let before = runs_of(&fleet);
        statuses(fleet.clients, number * 100).await?;
        let after = runs_of(&fleet);
        assert_eq!(after[number], before[number] + MANY);
    }
    bind(&mut fleet, 0, json!([]));
    sleep(APPLIED).await;
    let answers = statuses(fleet.clients, 300).await?;
    assert!(answers.iter().all(|status| *status == 200));
    Ok(())
}

const KEY: &str = "key-of-acme-5c1e07a2";

async fn with_key(fleet: &Fleet, id: usize) -> Result<ClientResponse> {
    let asked = ClientRequest {
        headers: vec![("Api-Key".to_string(), KEY.to_string())],
        ..safe(id)
    };
    request(fleet.clients, &asked).await
}

/// Guards against: the bound of an account that is lost beside that of its route.
#[tokio::test]
async fn an_account_and_a_route_bind_together() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    fleet.configure(|document| {
        document["Routes"][0]["AllowedRegions"] = json!(["south", "middle"]);
        document["Tenants"] = json!([
            {"Name": "acme", "ApiKeys": [KEY], "AllowedRegions": ["middle", "north"]},
        ]);
    });
    sleep(APPLIED).await;
    let before = runs_of(&fleet);
    for id in 0..MANY {
        assert_eq!(with_key(&fleet, id).await?.status, 200);
    }
    let after = runs_of(&fleet);
    assert_eq!(after[1], before[1] + MANY);
    Ok(())
}

/// Guards against: an adapter that is loaded, or a prompt that is run, at an engine of another
/// region.
#[tokio::test]
async fn prompts_and_their_adapters_stay_in_their_regions() -> Result<()> {
    let mut fleet = three_regions(3, 1).await?;
    bind(&mut fleet, 2, json!("middle"));
    sleep(APPLIED).await;
    let served = || async {
        let answer = request(fleet.clients, &prompt("a", "first")).await;
        answer.is_ok_and(|answer| answer.status == 200)
    };
    until_async("a prompt is served", served).await;
    for number in 0..4 {
        let answer = request(fleet.clients, &prompt("a", &format!("p-{number}"))).await?;
        assert_eq!(answer.status, 200);
    }
    for other in [0, 2] {
        assert!(fleet.engines[other].runs().is_empty());
        assert!(fleet.engines[other].orders().is_empty());
    }
    Ok(())
}
