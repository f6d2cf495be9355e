//! `AllowedRegions` of routes and client accounts, over real processes in three regions.

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

const ZONES: [(&str, &str); 3] = [("z-n", "north"), ("z-m", "middle"), ("z-s", "south")];
/// Too many for a random choice to place them all in one region.
const REQUESTS: usize = 24;
/// Time within which the fleet's processes apply a configuration change.
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_000);

async fn three_regions(engines: u8, plain: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        zones: ZONES.to_vec(),
        engines,
        plain,
        ..FleetSettings::default()
    })
    .await
}

/// Sets `AllowedRegions` of the route with this index.
fn restrict_route(fleet: &mut Fleet, route: usize, regions: Value) {
    fleet.configure(|document| document["Routes"][route]["AllowedRegions"] = regions);
}

fn safe_request(id: usize) -> ClientRequest {
    ClientRequest {
        target: "/safe/".to_string(),
        id: format!("r-{id}"),
        ..ClientRequest::default()
    }
}

async fn statuses(entry: SocketAddr, from: usize) -> Result<Vec<u16>> {
    let mut statuses = Vec::new();
    for id in from..from + REQUESTS {
        statuses.push(request(entry, &safe_request(id)).await?.status);
    }
    Ok(statuses)
}

fn run_counts(fleet: &Fleet) -> Vec<usize> {
    let runs = fleet.plain.iter().map(|b| b.runs().len());
    runs.collect()
}

/// Guards against: requests served outside the allowed regions of their route, whichever entry
/// receives them.
#[tokio::test]
async fn a_restricted_route_is_served_only_in_its_allowed_regions() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    restrict_route(&mut fleet, 0, json!(["south"]));
    sleep(CONFIG_APPLY_TIME).await;
    let middle = fleet
        .start_other_ingress_in_zone("front-m", ZONES[1].0)
        .await?;
    let before = run_counts(&fleet);
    let mut responses = statuses(fleet.clients, 0).await?;
    responses.extend(statuses(middle.clients, REQUESTS).await?);
    assert!(responses.iter().all(|status| *status == 200));
    let after = run_counts(&fleet);
    assert_eq!(after[..2], before[..2]);
    assert_eq!(after[2], before[2] + 2 * REQUESTS);
    Ok(())
}

/// Guards against: requests sent to other regions, or held, when the allowed regions have no
/// back end left. The store is unresponsive, so the list still has the one that crashed.
#[tokio::test]
async fn a_restricted_route_is_rejected_when_its_regions_have_no_back_end() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    restrict_route(&mut fleet, 0, json!(["south"]));
    sleep(CONFIG_APPLY_TIME).await;
    fleet.store.set_fault(StoreFault::Unresponsive);
    fleet.plain[2].state().crash();
    fleet.plain[2].state().restart_delay = CONFIG_APPLY_TIME;
    let before = run_counts(&fleet);
    let responses = statuses(fleet.clients, 0).await?;
    assert!(responses.iter().all(|status| [502, 503].contains(status)));
    assert_eq!(run_counts(&fleet)[..2], before[..2]);
    fleet.store.set_fault(StoreFault::None);
    fleet.store.delete(&format!("servers/{}", "p-2"));
    until_async("a rejection names its cause", || async {
        let rejected = request(fleet.clients, &safe_request(99)).await;
        rejected.is_ok_and(|response| response.status == 503)
            && fleet.log().contains("outside_regions")
    })
    .await;
    assert!(fleet.log().contains("\"regions\":\"south\""));
    let metric = "outside_regions_total";
    assert!(fleet.metrics_text().await.contains(metric));
    Ok(())
}

/// Guards against: a change of the allowed regions that does not apply to later requests.
#[tokio::test]
async fn a_change_of_allowed_regions_applies_to_later_requests() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    for (region, index) in [("south", 2), ("middle", 1)] {
        restrict_route(&mut fleet, 0, json!([region]));
        sleep(CONFIG_APPLY_TIME).await;
        let before = run_counts(&fleet);
        statuses(fleet.clients, index * 100).await?;
        let after = run_counts(&fleet);
        assert_eq!(after[index], before[index] + REQUESTS);
    }
    restrict_route(&mut fleet, 0, json!([]));
    sleep(CONFIG_APPLY_TIME).await;
    let responses = statuses(fleet.clients, 300).await?;
    assert!(responses.iter().all(|status| *status == 200));
    Ok(())
}

const KEY: &str = "key-of-acme-5c1e07a2";

async fn request_with_key(fleet: &Fleet, id: usize) -> Result<ClientResponse> {
    let sent = ClientRequest {
        headers: vec![("Api-Key".to_string(), KEY.to_string())],
        ..safe_request(id)
    };
    request(fleet.clients, &sent).await
}

/// Guards against: allowed regions of an account that are ignored when its route has some too.
#[tokio::test]
async fn allowed_regions_of_account_and_route_are_intersected() -> Result<()> {
    let mut fleet = three_regions(1, 3).await?;
    fleet.configure(|document| {
        document["Routes"][0]["AllowedRegions"] = json!(["south", "middle"]);
        document["Tenants"] = json!([
            {"Name": "acme", "ApiKeys": [KEY], "AllowedRegions": ["middle", "north"]},
        ]);
    });
    sleep(CONFIG_APPLY_TIME).await;
    let before = run_counts(&fleet);
    for id in 0..REQUESTS {
        assert_eq!(request_with_key(&fleet, id).await?.status, 200);
    }
    let after = run_counts(&fleet);
    assert_eq!(after[1], before[1] + REQUESTS);
    Ok(())
}

/// Guards against: an adapter loaded, or a prompt run, by an engine outside the allowed regions.
#[tokio::test]
async fn prompts_and_adapters_stay_in_the_allowed_regions() -> Result<()> {
    let mut fleet = three_regions(3, 1).await?;
    restrict_route(&mut fleet, 2, json!("middle"));
    sleep(CONFIG_APPLY_TIME).await;
    let is_served = || async {
        let response = request(fleet.clients, &prompt("a", "first")).await;
        response.is_ok_and(|response| response.status == 200)
    };
    until_async("a prompt is served", is_served).await;
    for index in 0..4 {
        let response = request(fleet.clients, &prompt("a", &format!("p-{index}"))).await?;
        assert_eq!(response.status, 200);
    }
    for other_index in [0, 2] {
        assert!(fleet.engines[other_index].runs().is_empty());
        assert!(fleet.engines[other_index].orders().is_empty());
    }
    Ok(())
}
