//! Streams that are taken up after entries and sidecars were killed at one moment, and after the
//! store has forgotten its history: it may do so at any time.

// the fixture has more than these tests use
#[allow(dead_code)]
mod rejoined_fixture;
mod versions_fixture;

use {anyhow::Result, rejoined_fixture::RejoinedFleet};

const OLD: &str = "v1";
const NEW: &str = "v2";

/// Replaces all engines while streams run, and ends all processes at one moment. The store keeps the
/// changes from there on.
async fn replace_and_kill(has_later_changes: bool) -> Result<RejoinedFleet> {
    let mut fleet = RejoinedFleet::start(&[OLD; 4], &[NEW; 4]).await?;
    fleet.begin_streams().await?;
    fleet.publish(4..8, "ready").await;
    fleet.publish(0..4, "draining").await;
    fleet.remove(0..4).await?;
    fleet.kill_entries()?;
    fleet.kill_sidecars()?;
    fleet.fleet.store.compact_history();
    if has_later_changes {
        (4..8).for_each(|engine| fleet.fleet.publish_engine(engine, "ready"));
    }
    fleet.start_sidecars().await?;
    fleet.start_entries().await?;
    Ok(fleet)
}

/// Guards against: an empty history that is taken for one without another version.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_joined_after_the_store_has_forgotten_all_changes() -> Result<()> {
    let mut fleet = replace_and_kill(false).await?;
    let outcome = fleet.take_up().await?;
    assert_eq!(outcome.joined, 0, "{outcome:?}");
    Ok(())
}

/// Guards against: the changes of a second that are taken for those of the whole memory.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_joined_while_the_store_has_the_last_changes_alone() -> Result<()> {
    let mut fleet = replace_and_kill(true).await?;
    let outcome = fleet.take_up().await?;
    assert_eq!(outcome.joined, 0, "{outcome:?}");
    Ok(())
}
