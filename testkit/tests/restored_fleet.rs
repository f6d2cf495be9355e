//! Many entries whose store returns with an older state, over real processes.
//!
//! Guards against a restore after which each entry reads the whole list from the store, which they
//! all notice at the same moment.

mod many_entries;

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{metrics_text, Fleet, LostWrites, OtherIngress, StoreFault},
        waiting::until_async,
    },
    many_entries::*,
    std::time::Duration,
    tokio::time::sleep,
};

const ENTRIES: usize = 10;
const RECORDS: usize = 60;
/// Writes of other systems since the copy.
const WRITES_SINCE_COPY: u64 = 100;

/// Waits until each entry uses a list of the second era.
async fn wait_for_new_era(entries: &[OtherIngress]) {
    for entry in entries {
        until_async("the list of the new era is used", || async {
            let page = metrics_text(entry.metrics).await;
            page.contains("chalkcart_ingress_store_era 2\n")
        })
        .await;
    }
}

/// Restores the store after an outage, and returns the number of reads of the list until all entries
/// use the restored one.
async fn reads_of_restore(fleet: &Fleet, entries: &[OtherIngress], outage: Duration) -> usize {
    let copy = fleet.store.copy();
    fleet.store.raise_revision(WRITES_SINCE_COPY);
    fleet.publish_engine(0, "ready");
    fleet.store.set_fault(StoreFault::Reset);
    sleep(outage).await;
    let calls = fleet.store.calls().len();
    fleet.store.restore(&copy, LostWrites::Repeated);
    fleet.store.set_fault(StoreFault::None);
    wait_for_new_era(entries).await;
    list_reads(fleet, calls)
}

/// In the longer outage the copies of the relays become stale, and each entry calls the store.
#[tokio::test]
async fn the_reads_of_a_restored_store_grow_with_relays_and_not_with_entries() -> Result<()> {
    for outage_ms in [100, 2_000] {
        let fleet = start(RECORDS).await?;
        let entries = start_entries(&fleet, ENTRIES).await?;
        let outage = Duration::from_millis(outage_ms);
        let reads = reads_of_restore(&fleet, &entries, outage).await;
        let allowed = READERS * pages(RECORDS);
        assert!(
            reads <= allowed,
            "outage of {outage_ms} ms: {reads} reads, {allowed} allowed"
        );
    }
    Ok(())
}
