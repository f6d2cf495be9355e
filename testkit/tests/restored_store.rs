//! A store that returns with an older state, in a new era: revisions are given out again, and
//! what was written since the copy is lost unless its writers repeat it. Over real processes.

use {
    anyhow::Result,
    chalkcart_testkit::{
        forwarder::LinkFault,
        users_platform::{
            request, BackendStandIn, ClientRequest, ClientResponse, Fleet, FleetSettings,
            LostWrites, StoreCopy, StoreFault,
        },
        waiting::{until, until_async},
    },
    serde_json::{json, Value},
};

/// Writes between the copy and the loss, so that the store needs as many to pass its former
/// revision again.
const WRITES_SINCE_COPY: u32 = 40;
/// Requests by which a test decides that a back end gets none.
const PROBES: u32 = 12;

async fn start(settings: FleetSettings) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        plain: 2,
        ..settings
    })
    .await
}

async fn start_with_relay() -> Result<Fleet> {
    let fleet = start(FleetSettings {
        engines: 3,
        relays_from_engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    until("the relay forwards store updates", || {
        fleet.log().contains("\"by_relay\":true")
    })
    .await;
    Ok(fleet)
}

async fn send(fleet: &Fleet, target: &str) -> Result<ClientResponse> {
    let probe = ClientRequest {
        target: target.to_string(),
        ..ClientRequest::default()
    };
    request(fleet.clients, &probe).await
}

async fn wait_until_status(fleet: &Fleet, target: &str, status: u16) {
    until_async(&format!("{target} gives {status}"), || async {
        let response = send(fleet, target).await;
        response.is_ok_and(|response| response.status == status)
    })
    .await;
}

fn arrivals(backend: &BackendStandIn) -> usize {
    backend.state().arrivals.len()
}

/// Returns whether none of several requests reaches a back end. One after the other, they all go
/// to the first back end unless it may not be used.
async fn is_unused(fleet: &Fleet, backend: &BackendStandIn) -> bool {
    let before = arrivals(backend);
    for _ in 0..PROBES {
        if send(fleet, "/safe/").await.is_err() {
            return false;
        }
    }
    arrivals(backend) == before
}

async fn wait_until_unused(fleet: &Fleet, number: usize) {
    until_async(&format!("plain {number} gets no request"), || {
        is_unused(fleet, &fleet.plain[number])
    })
    .await;
}

async fn wait_until_used(fleet: &Fleet, number: usize) {
    until_async(&format!("plain {number} gets requests"), || async {
        !is_unused(fleet, &fleet.plain[number]).await
    })
    .await;
}

/// Returns a copy of the store, after which the entry sees many more revisions.
async fn copy_and_write(fleet: &Fleet) -> StoreCopy {
    let copy = fleet.store.copy();
    for number in 0..WRITES_SINCE_COPY {
        let record = json!({"Model": "m", "Adapter": "unused", "Version": number});
        fleet.store.put("op/version/m.unused", record);
    }
    fleet.publish_plain(0, "draining");
    wait_until_unused(fleet, 0).await;
    fleet.publish_plain(0, "ready");
    wait_until_used(fleet, 0).await;
    copy
}

/// Lets the store be away for a moment and return to the state of a copy.
async fn restore(fleet: &Fleet, copy: &StoreCopy, lost_writes: LostWrites) {
    fleet.store.set_fault(StoreFault::Reset);
    until("the outage is logged", || fleet.log().contains("not read")).await;
    fleet.store.restore(copy, lost_writes);
    fleet.store.set_fault(StoreFault::None);
}

fn add_route(document: &mut Value, prefix: &str) {
    let mut route = document["Routes"][0].clone();
    route["Name"] = json!("added");
    route["PathPrefix"] = json!(prefix);
    document["Routes"]
        .as_array_mut()
        .expect("routes")
        .push(route);
}

/// Waits until the ingress uses a list of this era of the store.
async fn wait_for_era(fleet: &Fleet, era: u64) {
    let gauge = format!("chalkcart_ingress_store_era {era}\n");
    until_async("the list of the new era is used", || async {
        fleet.metrics_text().await.contains(&gauge)
    })
    .await;
}

/// Restores the store and waits until a back end that leaves after it gets no requests.
async fn restore_and_drain(fleet: &Fleet) {
    let copy = copy_and_write(fleet).await;
    restore(fleet, &copy, LostWrites::Forgotten).await;
    fleet.publish_plain(0, "draining");
    wait_until_unused(fleet, 0).await;
}

/// Guards against requests sent to a back end that leaves after the store's return, because its
/// list has a lower revision than the one in use.
#[tokio::test]
async fn a_back_end_that_leaves_after_a_restore_gets_no_requests() -> Result<()> {
    restore_and_drain(&start(FleetSettings::default()).await?).await;
    Ok(())
}

/// Guards against a relay that ignores the restored store, or answers that nothing is newer than
/// a revision of the former era.
#[tokio::test]
async fn a_route_added_after_a_restore_is_served_behind_a_relay() -> Result<()> {
    let mut fleet = start_with_relay().await?;
    let copy = copy_and_write(&fleet).await;
    restore(&fleet, &copy, LostWrites::Repeated).await;
    fleet.configure(|document| add_route(document, "/added/"));
    wait_until_status(&fleet, "/added/", 200).await;
    Ok(())
}

/// Guards against a back end that leaves after the store's return, behind a relay.
#[tokio::test]
async fn a_back_end_that_leaves_after_a_restore_gets_no_requests_behind_a_relay() -> Result<()> {
    restore_and_drain(&start_with_relay().await?).await;
    Ok(())
}

/// Guards against requests to a back end that was leaving before the restore, while the store lists
/// it as ready again.
#[tokio::test]
async fn a_back_end_that_was_leaving_before_a_restore_gets_no_requests() -> Result<()> {
    let fleet = start(FleetSettings::default()).await?;
    let copy = copy_and_write(&fleet).await;
    fleet.publish_plain(0, "draining");
    wait_until_unused(&fleet, 0).await;
    restore(&fleet, &copy, LostWrites::Forgotten).await;
    wait_for_era(&fleet, 2).await;
    assert!(is_unused(&fleet, &fleet.plain[0]).await);
    Ok(())
}

/// Guards against a confirmed configuration that goes back with the store.
#[tokio::test]
async fn a_configuration_stays_in_force_beyond_a_restore() -> Result<()> {
    for has_relay in [false, true] {
        let mut fleet = match has_relay {
            true => start_with_relay().await?,
            false => start(FleetSettings::default()).await?,
        };
        let copy = copy_and_write(&fleet).await;
        fleet.configure(|document| add_route(document, "/added/"));
        wait_until_status(&fleet, "/added/", 200).await;
        restore(&fleet, &copy, LostWrites::Forgotten).await;
        wait_for_era(&fleet, 2).await;
        assert_eq!(send(&fleet, "/added/").await?.status, 200);
        fleet.configure(|document| add_route(document, "/later/"));
        wait_until_status(&fleet, "/later/", 200).await;
    }
    Ok(())
}

/// Guards against relays that learn of the restore later than the entry, and an entry that takes
/// their records of the former era.
#[tokio::test]
async fn relays_that_learn_of_a_restore_late_are_used_again() -> Result<()> {
    let mut fleet = start_with_relay().await?;
    let copy = copy_and_write(&fleet).await;
    for sidecar in &mut fleet.sidecars {
        sidecar.pause()?;
    }
    restore(&fleet, &copy, LostWrites::Repeated).await;
    fleet.configure(|document| add_route(document, "/added/"));
    wait_until_status(&fleet, "/added/", 200).await;
    wait_for_era(&fleet, 2).await;
    for sidecar in &mut fleet.sidecars {
        sidecar.resume()?;
    }
    fleet.configure(|document| add_route(document, "/later/"));
    wait_until_status(&fleet, "/later/", 200).await;
    fleet.publish_plain(0, "draining");
    wait_until_unused(&fleet, 0).await;
    Ok(())
}

/// Guards against an entry that was cut off from the store during the restore and takes a revision
/// that was given out again for one that it knows.
#[tokio::test]
async fn an_entry_that_learns_of_a_restore_late_reads_the_store_in_full() -> Result<()> {
    let mut fleet = start(FleetSettings {
        has_store_forwarder: true,
        ..FleetSettings::default()
    })
    .await?;
    let copy = copy_and_write(&fleet).await;
    let link = fleet.store_forwarder.as_ref().expect("a forwarder");
    link.set_fault(LinkFault::Blackhole);
    fleet.store.restore(&copy, LostWrites::Forgotten);
    fleet.publish_plain(0, "draining");
    for number in 0..2 * WRITES_SINCE_COPY {
        let record = json!({"Model": "m", "Adapter": "unused", "Version": number});
        fleet.store.put("op/version/m.unused", record);
    }
    link.set_fault(LinkFault::None);
    wait_until_unused(&fleet, 0).await;
    fleet.configure(|document| add_route(document, "/added/"));
    wait_until_status(&fleet, "/added/", 200).await;
    Ok(())
}
