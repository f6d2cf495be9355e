//! A fleet of many entries and a list of many records, and the calls that read the list.

// each test file uses a part of it
#![allow(dead_code)]

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{
        serve_prompt, Fleet, FleetSettings, OtherIngress, StoreLimits,
    },
    futures::future::try_join_all,
    serde_json::json,
};

pub const ENGINES: u8 = 6;
/// The first page contains the engines and nothing else.
pub const ITEMS_PER_PAGE: usize = ENGINES as usize;
/// Sidecars that read the list: the zone's reader of the store, and one that is used while the
/// list is not known.
pub const READERS: usize = 2;

/// Starts a fleet whose list has this many records beside those of the engines.
pub async fn start(records: usize) -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines: ENGINES,
        relays_from_engines: 1,
        ..FleetSettings::default()
    })
    .await?;
    fleet.store.set_limits(StoreLimits {
        items_per_page: ITEMS_PER_PAGE,
        ..StoreLimits::default()
    });
    for number in 0..records {
        let record = json!({
            "Service": "plain", "Address": fleet.plain[0].addr, "Zone": "z", "Version": "v1",
            "Slots": 8, "State": "draining", "ColdLeftMs": 0, "Seq": 1, "born": number,
        });
        fleet.store.put(&format!("servers/x-{number:04}"), record);
    }
    // the latest changes name the engines
    for number in 0..fleet.engines.len() {
        fleet.publish_engine(number, "ready");
    }
    // the first entry and its relay
    serve_prompt(&fleet, "a", "first").await?;
    Ok(fleet)
}

pub async fn start_entries(fleet: &Fleet, entries: usize) -> Result<Vec<OtherIngress>> {
    let names: Vec<String> = (0..entries).map(|n| format!("front-1{n:02}")).collect();
    try_join_all(names.iter().map(|name| fleet.start_other_ingress(name))).await
}

/// Returns the calls that read a page of the list, from the `first` call on.
pub fn list_reads(fleet: &Fleet, first: usize) -> usize {
    let calls = fleet.store.calls();
    let pages = calls[first..]
        .iter()
        .filter(|target| target.contains("kv-range") && target.contains("PathPrefix=servers"));
    pages.count()
}

pub fn pages(records: usize) -> usize {
    (records + usize::from(ENGINES) + 1).div_ceil(ITEMS_PER_PAGE)
}
