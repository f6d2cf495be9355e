//! Streams whose entries are all killed at one moment, over real processes: around a release of
//! another software version, and without one.

mod rejoined_fixture;
mod versions_fixture;

use {
    anyhow::Result,
    rejoined_fixture::{Outcome, RejoinedFleet, STREAMS},
};

const OLD: &str = "v1";
const NEW: &str = "v2";

fn assert_none_joined(outcome: &Outcome) {
    assert_eq!(outcome.joined, 0, "{outcome:?}");
}

fn assert_gone_on(outcome: &Outcome, versions: &[&str]) {
    for version in versions {
        let has_gone_on = outcome.has_gone_on(version);
        assert!(has_gone_on, "under 0.9 of {version} went on: {outcome:?}");
    }
}

/// Guards against: entries that start after the old version has left, take the only one that they see
/// for the only one that served, and join streams of the old one with it.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_version_that_was_replaced_while_they_ran_are_not_joined() -> Result<()> {
    let mut fleet = RejoinedFleet::start(&[OLD; 4], &[NEW; 4]).await?;
    fleet.begin_streams().await?;
    fleet.publish(4..8, "ready").await;
    fleet.wait_until_told(0..8).await;
    fleet.publish(0..4, "draining").await;
    fleet.remove(0..4).await?;
    fleet.kill_entries()?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    assert_eq!(outcome.began_at(OLD), STREAMS, "{outcome:?}");
    assert!(outcome.went_on.is_empty(), "{outcome:?}");
    Ok(())
}

/// Guards against: streams whose origins leave with the sidecars of a version that served beside
/// another one.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_at_the_version_that_stays_after_the_other_left() -> Result<()> {
    let all = [[OLD; 6].as_slice(), &[NEW; 2]].concat();
    let mut fleet = RejoinedFleet::start(&all, &[]).await?;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..8).await;
    fleet.publish(0..6, "draining").await;
    fleet.wait_until_told(6..8).await;
    fleet.remove(0..6).await?;
    fleet.kill_entries()?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    assert_gone_on(&outcome, &[NEW]);
    assert_eq!(outcome.went_on_at(OLD), 0, "{outcome:?}");
    Ok(())
}

/// Guards against: streams that are joined or refused after all entries were killed while two
/// versions serve.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_two_versions_that_stay_go_on_at_their_own() -> Result<()> {
    let mut fleet = RejoinedFleet::start(&[OLD, NEW].repeat(4), &[]).await?;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..8).await;
    fleet.kill_entries()?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    assert_gone_on(&outcome, &[OLD, NEW]);
    Ok(())
}

/// Guards against: entries that refuse all streams after a start, as they can't know that one version
/// alone has served.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_after_all_entries_were_killed() -> Result<()> {
    let mut fleet = RejoinedFleet::start(&[OLD; 4], &[]).await?;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..4).await;
    fleet.kill_entries()?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    assert_gone_on(&outcome, &[OLD]);
    Ok(())
}

/// Guards against: a fleet of one version that refuses all streams once entries and sidecars have
/// started again.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_after_all_parts_were_killed() -> Result<()> {
    let mut fleet = RejoinedFleet::start(&[OLD; 4], &[]).await?;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..4).await;
    fleet.kill_entries()?;
    fleet.kill_sidecars()?;
    fleet.start_sidecars().await?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    assert_gone_on(&outcome, &[OLD]);
    Ok(())
}

/// Guards against: origins that sidecars lost when they started again, and that nobody told them a
/// second time before the entries were killed.
#[tokio::test(flavor = "multi_thread")]
async fn sidecars_that_started_again_are_told_again() -> Result<()> {
    let mut fleet = RejoinedFleet::start(&[OLD, NEW].repeat(4), &[]).await?;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..8).await;
    fleet.kill_sidecars()?;
    fleet.start_sidecars().await?;
    fleet.wait_until_told(0..8).await;
    fleet.kill_entries()?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    assert_gone_on(&outcome, &[OLD, NEW]);
    Ok(())
}

/// Guards against: a guess after entries and sidecars were killed at one moment, when nobody knows
/// which of two versions began a stream.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_joined_after_entries_and_sidecars_were_killed_together() -> Result<()> {
    let mut fleet = RejoinedFleet::start(&[OLD, NEW].repeat(4), &[]).await?;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..8).await;
    fleet.kill_entries()?;
    fleet.kill_sidecars()?;
    fleet.start_sidecars().await?;
    fleet.start_entries().await?;
    let outcome = fleet.take_up().await?;
    assert_none_joined(&outcome);
    Ok(())
}

/// Kills all entries of a fleet with two versions; for a time they see those engines alone that
/// were listed first, all of one version.
async fn joined_by_a_list_behind(first: &'static str, then: &'static str) -> Result<Outcome> {
    let mut fleet = RejoinedFleet::start(&[first; 2], &[then; 6]).await?;
    let behind = fleet.fleet.store.copy();
    fleet.publish(2..8, "ready").await;
    fleet.begin_streams().await?;
    fleet.wait_until_told(0..8).await;
    fleet.kill_entries()?;
    fleet.set_behind(Some(behind));
    fleet.start_entries().await?;
    fleet.take_up().await
}

/// Guards against: entries that start with a list which is behind, and take its only version for the
/// only one that served.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_joined_while_a_first_list_has_the_old_version_alone() -> Result<()> {
    let outcome = joined_by_a_list_behind(OLD, NEW).await?;
    assert_none_joined(&outcome);
    Ok(())
}

/// Guards against the same after a release was taken back.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_joined_while_a_first_list_has_the_new_version_alone() -> Result<()> {
    let outcome = joined_by_a_list_behind(NEW, OLD).await?;
    assert_none_joined(&outcome);
    Ok(())
}
