//! An accepted configuration comes into force on every process and never reverts, while the
//! platform is down or stale, processes are paused or restarted, and operators race.

use {
    anyhow::Result,
    chalkcart_protocol::v1::{
        admin_client::AdminClient, AddVersionRequest, GenerateRequest, GetStatusRequest,
        RegisterAdapterRequest, SetShareRequest,
    },
    chalkcart_state::{
        config::{Change, Root},
        ids::WeightsDigest,
    },
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        forwarder::LinkFault,
        load::{check_completion, generate, CompletionCheck},
        waiting::{until, until_async},
    },
    tonic::Code,
};

fn three_entries() -> ClusterSettings {
    ClusterSettings {
        entries: 3,
        ..ClusterSettings::default()
    }
}

fn share(share: u32) -> Change {
    Change::SetShare {
        group: "branches".to_string(),
        share,
    }
}

fn new_version() -> Change {
    Change::AddVersion {
        adapter: "loan-0".to_string(),
        digest: WeightsDigest::of(b"3"),
    }
}

/// Returns a prompt for the version that `new_version` adds.
fn prompt_on_new_version(prompt: String) -> GenerateRequest {
    GenerateRequest {
        group: "branches".to_string(),
        class: "counter".to_string(),
        adapter: "loan-0".to_string(),
        version: 3,
        prompt,
        max_tokens: 3,
        ..GenerateRequest::default()
    }
}

async fn generation(cluster: &Cluster, entry: usize) -> Result<u64> {
    let mut admin = AdminClient::new(cluster.channel(entry).await?);
    Ok(admin
        .get_status(GetStatusRequest {})
        .await?
        .into_inner()
        .generation)
}

async fn wait_for_generation(cluster: &Cluster, entry: usize, expected: u64) -> Result<()> {
    let reached = || async {
        let found = generation(cluster, entry).await;
        found.is_ok_and(|g| g >= expected)
    };
    until_async("the generation is in force", reached).await;
    Ok(())
}

async fn wait_for_log(cluster: &Cluster, entry: usize, text: &str) {
    until(text, || cluster.entries[entry].has_logged(text)).await;
}

#[tokio::test]
async fn a_published_change_comes_into_force_on_every_box() -> Result<()> {
    let cluster = Cluster::start(three_entries()).await?;
    let next = cluster.platform.documents().changed(&new_version())?;
    cluster.platform.publish(next);
    cluster.wait_in_force(2, 2).await?;
    for entry in 0..3 {
        let mut client = cluster.client(entry).await?;
        let req = prompt_on_new_version(format!("the new version by {entry}"));
        let response = generate(&mut client, req.clone()).await;
        assert_eq!(
            check_completion(&req, &response.expect("served")),
            CompletionCheck::Correct
        );
    }
    Ok(())
}

#[tokio::test]
async fn a_change_spreads_through_peers_while_the_platform_is_down() -> Result<()> {
    let cluster = Cluster::start(three_entries()).await?;
    // only one entry receives the change before the platform goes down
    for paused in &cluster.entries[1..] {
        paused.process.pause()?;
    }
    let next = cluster.platform.documents().changed(&new_version())?;
    cluster.platform.publish(next);
    wait_for_generation(&cluster, 0, 2).await?;
    cluster.platform.set_down(true);
    for paused in &cluster.entries[1..] {
        paused.process.resume()?;
    }
    cluster.wait_in_force(0, 2).await
}

#[tokio::test]
async fn a_stale_platform_does_not_revert_a_new_process() -> Result<()> {
    let mut cluster = Cluster::start(three_entries()).await?;
    let first = cluster.platform.documents();
    let second = first.changed(&share(2))?;
    let third = second.changed(&new_version())?;
    cluster.platform.publish(third);
    cluster.wait_in_force(0, 3).await?;
    cluster.platform.set_stale(Some(first));
    let added = cluster.add_entry().await?;
    cluster.entries[added].wait_ready().await?;
    assert_eq!(generation(&cluster, added).await?, 3);
    cluster.entries[0].process.kill()?;
    cluster.entries[0].respawn()?;
    cluster.entries[0].wait_ready().await?;
    assert_eq!(generation(&cluster, 0).await?, 3);
    cluster.engines[0].sidecar.process.kill()?;
    cluster.engines[0].sidecar.respawn()?;
    cluster.wait_in_force(1, 3).await
}

#[tokio::test]
async fn a_new_process_becomes_ready_through_peers_with_the_platform_down() -> Result<()> {
    let mut cluster = Cluster::start(three_entries()).await?;
    cluster.platform.set_down(true);
    cluster.entries[2].process.kill()?;
    cluster.entries[2].respawn()?;
    cluster.entries[2].wait_ready().await?;
    assert_eq!(generation(&cluster, 2).await?, 1);
    Ok(())
}

#[tokio::test]
async fn different_content_under_the_same_generation_is_rejected() -> Result<()> {
    let mut cluster = Cluster::start(three_entries()).await?;
    let first = cluster.platform.documents();
    let one = first.changed(&share(2))?;
    let other = first.changed(&share(9))?;
    cluster.platform.publish(one);
    cluster.wait_in_force(0, 2).await?;
    cluster.platform.publish(other);
    let added = cluster.add_entry().await?;
    cluster.entries[added].wait_ready().await?;
    wait_for_log(
        &cluster,
        added,
        "generation 2 rejected: its content differs from the one in force",
    )
    .await;
    let root = planned_root(&cluster, added).await?;
    assert_eq!(root.groups[0].share, 2);
    Ok(())
}

/// Returns the root in force, taken from the next documents that an entry plans.
async fn planned_root(cluster: &Cluster, entry: usize) -> Result<Root> {
    let mut admin = AdminClient::new(cluster.channel(entry).await?);
    let req = RegisterAdapterRequest {
        base_generation: 2,
        adapter: "probe".to_string(),
        group: "branches".to_string(),
        base_model: "base".to_string(),
        digest: WeightsDigest::of(b"probe").to_string(),
    };
    let next = admin.register_adapter(req).await?.into_inner();
    let root = next.documents.last().expect("the root comes last");
    Ok(serde_json::from_str(&root.content)?)
}

#[tokio::test]
async fn of_two_changes_on_one_generation_the_later_is_rejected() -> Result<()> {
    let cluster = Cluster::start(three_entries()).await?;
    let mut one = AdminClient::new(cluster.channel(0).await?);
    let mut other = AdminClient::new(cluster.channel(1).await?);
    let share = SetShareRequest {
        base_generation: 1,
        group: "branches".to_string(),
        share: 5,
    };
    let version = AddVersionRequest {
        base_generation: 1,
        adapter: "loan-0".to_string(),
        digest: WeightsDigest::of(b"3").to_string(),
    };
    let planned = one.set_share(share.clone()).await?.into_inner();
    let planned_by_other = other.add_version(version.clone()).await?.into_inner();
    assert_eq!((planned.generation, planned_by_other.generation), (2, 2));
    let published = cluster.platform.documents().changed(&self::share(5))?;
    cluster.platform.publish(published);
    cluster.wait_in_force(0, 2).await?;
    let rejected = other
        .add_version(version.clone())
        .await
        .expect_err("stale base");
    assert_eq!(rejected.code(), Code::FailedPrecondition);
    let rebuilt = AddVersionRequest {
        base_generation: 2,
        ..version
    };
    assert_eq!(other.add_version(rebuilt).await?.into_inner().generation, 3);
    Ok(())
}

#[tokio::test]
async fn a_root_with_missing_shards_is_not_applied() -> Result<()> {
    let cluster = Cluster::start(three_entries()).await?;
    let first = cluster.platform.documents();
    let next = first.changed(&new_version())?;
    let mut incomplete = next.clone();
    incomplete.shards = first.shards.clone();
    cluster.platform.publish(incomplete);
    wait_for_log(&cluster, 0, "generation 2 could not be applied").await;
    assert_eq!(generation(&cluster, 0).await?, 1);
    cluster.platform.publish(next);
    cluster.wait_in_force(0, 2).await
}

/// Entries without reachable peers read the platform directly; sidecars, which read only from
/// entries, catch up once the links are restored.
#[tokio::test]
async fn entries_without_reachable_peers_read_the_platform_and_serve_requests() -> Result<()> {
    let settings = ClusterSettings {
        entries: 5,
        has_entry_forwarders: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let set_link_fault = |fault| {
        for entry in &cluster.entries {
            entry
                .forwarder
                .as_ref()
                .expect("a forwarder")
                .set_fault(fault);
        }
    };
    set_link_fault(LinkFault::Closed);
    let next = cluster.platform.documents().changed(&new_version())?;
    cluster.platform.publish(next);
    for entry in 0..5 {
        wait_for_generation(&cluster, entry, 2).await?;
        let mut client = cluster.client(entry).await?;
        let req = prompt_on_new_version(format!("cut off {entry}"));
        let response = generate(&mut client, req.clone()).await;
        assert_eq!(
            check_completion(&req, &response.expect("served")),
            CompletionCheck::Correct
        );
    }
    set_link_fault(LinkFault::None);
    cluster.wait_in_force(0, 2).await
}
