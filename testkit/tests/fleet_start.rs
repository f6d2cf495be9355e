//! Many entries that start at the same time, over real processes.
//!
//! Guards against a start for which the store sends each entry the whole list: its calls and bytes
//! would grow with entries x engines.

mod many_entries;

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            open_stream, prompt, serve_prompt, Fleet, FleetSettings, OpenStream, StoreFault,
            StoreLimits,
        },
        waiting::until,
    },
    futures::future::try_join_all,
    many_entries::*,
    std::time::Duration,
    tokio::time::sleep,
};

/// Number of changes in which an entry looks for engines.
const RECENT_CHANGES: u64 = 128;
/// The engines of one of two zones have slots for six adapters.
const ADAPTERS_IN_USE: usize = 8;
/// Longer than the other streams take to start.
const EVENTS_OF_LONG_STREAM: u32 = 1_000;

#[tokio::test]
async fn the_reads_of_a_start_grow_with_entries_and_not_with_entries_times_records() -> Result<()> {
    for (entries, records) in [(10, 200), (20, 400)] {
        let fleet = start(records).await?;
        let (calls, bytes) = (fleet.store.calls().len(), fleet.store.bytes_sent());
        let others = start_entries(&fleet, entries).await?;
        let reads = list_reads(&fleet, calls);
        let allowed = READERS * pages(records);
        assert!(
            reads <= allowed,
            "{entries} entries: {reads} reads, {allowed} allowed"
        );
        let bytes = fleet.store.bytes_sent() - bytes;
        let list = fleet.store.list_bytes("servers/");
        let record = list / (records as u64 + u64::from(ENGINES));
        let configuration = fleet.store.list_bytes("op/");
        // the latest changes and the configuration, with the frame of the responses
        let of_entry = 2 * (RECENT_CHANGES * record + configuration);
        let allowed = entries as u64 * of_entry + READERS as u64 * 2 * list;
        assert!(
            bytes <= allowed,
            "{entries} entries: {bytes} B, {allowed} allowed"
        );
        drop(others);
    }
    Ok(())
}

/// Without the latest changes the first page names the engines.
#[tokio::test]
async fn an_entry_reads_one_page_if_the_history_of_the_store_is_lost() -> Result<()> {
    let (entries, records) = (10, 60);
    let fleet = start(records).await?;
    fleet.store.compact_history();
    let calls = fleet.store.calls().len();
    let others = start_entries(&fleet, entries).await?;
    let reads = list_reads(&fleet, calls);
    let allowed = entries + READERS * pages(records);
    assert!(reads <= allowed, "{reads} reads, {allowed} allowed");
    drop(others);
    Ok(())
}

#[tokio::test]
async fn entries_have_their_list_if_all_sidecars_that_they_find_are_dead() -> Result<()> {
    let mut fleet = start(20).await?;
    for sidecar in &mut fleet.sidecars {
        sidecar.kill()?;
    }
    start_entries(&fleet, 3).await?;
    Ok(())
}

#[tokio::test]
async fn entries_have_their_list_if_all_sidecars_that_they_find_are_silent() -> Result<()> {
    let fleet = start(20).await?;
    for sidecar in &fleet.sidecars {
        sidecar.pause()?;
    }
    start_entries(&fleet, 3).await?;
    for sidecar in &fleet.sidecars {
        sidecar.resume()?;
    }
    Ok(())
}

#[tokio::test]
async fn entries_have_their_list_after_an_outage_of_the_store() -> Result<()> {
    let fleet = start(20).await?;
    fleet.store.set_fault(StoreFault::Status(503));
    let end_outage = async {
        sleep(Duration::from_millis(700)).await;
        fleet.store.set_fault(StoreFault::None);
        Ok(())
    };
    tokio::try_join!(start_entries(&fleet, 3), end_outage)?;
    Ok(())
}

/// The relays are as new as the entries, and the store's link is slow enough for all to wait.
#[tokio::test]
async fn the_reads_stay_few_when_all_processes_restart_at_once() -> Result<()> {
    let (entries, records) = (10, 60);
    let mut fleet = start(records).await?;
    let others = start_entries(&fleet, entries).await?;
    drop(others);
    fleet.ingress.kill()?;
    for sidecar in &mut fleet.sidecars {
        sidecar.kill()?;
    }
    let calls = fleet.store.calls().len();
    fleet.store.set_limits(StoreLimits {
        items_per_page: ITEMS_PER_PAGE,
        link_rate: Some(400_000),
    });
    for number in 0..ENGINES {
        fleet.sidecars[usize::from(number)] = fleet.start_sidecar(number)?;
    }
    fleet.restart_ingress()?;
    let others = start_entries(&fleet, entries).await?;
    fleet.wait_ready().await;
    let reads = list_reads(&fleet, calls);
    let allowed = READERS * pages(records);
    assert!(reads <= allowed, "{reads} reads, {allowed} allowed");
    drop(others);
    Ok(())
}

fn set_event_count(fleet: &Fleet, events: u32) {
    for engine in &fleet.engines {
        engine.state().event_count = events;
    }
}

/// Starts a stream on an adapter; a 503 response means that it did not run.
async fn start_stream(fleet: &Fleet, adapter: &str) -> Result<OpenStream> {
    loop {
        let stream = open_stream(fleet.clients, &prompt(adapter, adapter)).await?;
        if stream.head.start_line.get(1).is_none_or(|s| s != "503") {
            return Ok(stream);
        }
    }
}

/// A fleet of two zones whose relays read their own zone alone.
#[tokio::test]
async fn engines_of_another_zone_are_reached_through_a_relay_there() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        zones: vec![("z", "r"), ("y", "r")],
        engines: ENGINES,
        relays_from_engines: 1,
        zone_relays_from_engines: Some(2),
        ..FleetSettings::default()
    })
    .await?;
    let uses_zones = |fleet: &Fleet| {
        let mut numbers = 0..usize::from(ENGINES);
        numbers.any(|n| fleet.sidecar_log(n).contains("\"zones\":1"))
    };
    until("a relay uses one of the other zone", || uses_zones(&fleet)).await;
    // more adapters in use than the engines of the own zone have slots
    let event_count = fleet.engines[0].state().event_count;
    set_event_count(&fleet, EVENTS_OF_LONG_STREAM);
    let adapters: Vec<String> = (0..ADAPTERS_IN_USE).map(|n| format!("used-{n}")).collect();
    let streams = try_join_all(adapters.iter().map(|adapter| start_stream(&fleet, adapter)));
    drop(streams.await?);
    set_event_count(&fleet, event_count);
    // engines with an odd number are in the other zone
    let in_other_zone = fleet.engines.iter().skip(1).step_by(2);
    let loaded: usize = in_other_zone.map(|e| e.state().orders.max_adapters).sum();
    assert!(loaded > 0, "no adapter was loaded in the other zone");
    // the relays there end one after the other
    for number in [1, 3] {
        fleet.sidecars[number].kill()?;
        for adapter in ["g", "h"] {
            let id = format!("{adapter}-{number}");
            serve_prompt(&fleet, adapter, &id).await?;
        }
        fleet.sidecars[number] = fleet.start_sidecar(number as u8)?;
    }
    Ok(())
}
