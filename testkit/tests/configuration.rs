//! an accepted configuration comes into force everywhere and never reverts,
//! with the platform down or stale, with processes paused and started, and
//! with operators that race

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

/// a prompt on the version that `new_version` adds
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

async fn wait_generation(cluster: &Cluster, entry: usize, wanted: u64) -> Result<()> {
    let reached = || async {
        let found = generation(cluster, entry).await;
        found.is_ok_and(|g| g >= wanted)
    };
    until_async("the generation", reached).await;
    Ok(())
}

async fn wait_log(cluster: &Cluster, entry: usize, text: &str) {
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
        let answer = generate(&mut client, req.clone()).await;
        assert_eq!(
            check_completion(&req, &answer.expect("served")),
            CompletionCheck::Correct
        );
    }
    Ok(())
}

#[tokio::test]
async fn it_spreads_through_peers_while_the_platform_is_down() -> Result<()> {
    let cluster = Cluster::start(three_entries()).await?;
    // watchers are asleep, one entry hears of it, then the platform goes
    for paused in &cluster.entries[1..] {
        paused.process.pause()?;
    }
    let next = cluster.platform.documents().changed(&new_version())?;
    cluster.platform.publish(next);
    wait_generation(&cluster, 0, 2).await?;
    cluster.platform.set_down(true);
    for paused in &cluster.entries[1..] {
        paused.process.resume()?;
    }
    cluster.wait_in_force(0, 2).await
}

#[tokio::test]
async fn a_stale_platform_brings_nothing_back_to_a_new_process() -> Result<()> {
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
async fn another_content_under_the_same_generation_is_refused() -> Result<()> {
    let mut cluster = Cluster::start(three_entries()).await?;
    let first = cluster.platform.documents();
    let one = first.changed(&share(2))?;
    let other = first.changed(&share(9))?;
    cluster.platform.publish(one);
    cluster.wait_in_force(0, 2).await?;
    cluster.platform.publish(other);
    let added = cluster.add_entry().await?;
    cluster.entries[added].wait_ready().await?;
    wait_log(
        &cluster,
        added,
        "generation 2 rejected: its content differs from the one in force",
    )
    .await;
    let root = root_of(&cluster, added).await?;
    assert_eq!(root.groups[0].share, 2);
    Ok(())
}

/// the root in force, out of the next documents that an entry plans
async fn root_of(cluster: &Cluster, entry: usize) -> Result<Root> {
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
async fn of_two_operators_on_one_generation_one_must_build_again() -> Result<()> {
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
    let also = other.add_version(version.clone()).await?.into_inner();
    assert_eq!((planned.generation, also.generation), (2, 2));
    let published = cluster.platform.documents().changed(&self::share(5))?;
    cluster.platform.publish(published);
    cluster.wait_in_force(0, 2).await?;
    let refused = other
        .add_version(version.clone())
        .await
        .expect_err("stale base");
    assert_eq!(refused.code(), Code::FailedPrecondition);
    let rebuilt = AddVersionRequest {
        base_generation: 2,
        ..version
    };
    assert_eq!(other.add_version(rebuilt).await?.into_inner().generation, 3);
    Ok(())
}

#[tokio::test]
async fn a_root_whose_shards_are_missing_is_not_taken() -> Result<()> {
    let cluster = Cluster::start(three_entries()).await?;
    let first = cluster.platform.documents();
    let next = first.changed(&new_version())?;
    let mut half = next.clone();
    half.shards = first.shards.clone();
    cluster.platform.publish(half);
    wait_log(&cluster, 0, "generation 2 could not be applied").await;
    assert_eq!(generation(&cluster, 0).await?, 1);
    cluster.platform.publish(next);
    cluster.wait_in_force(0, 2).await
}

/// entries that no peer can reach read the platform themselves; sidecars,
/// which read entries only, follow once the cut is healed
#[tokio::test]
async fn entries_cut_from_each_other_read_the_platform_and_serve_on() -> Result<()> {
    let settings = ClusterSettings {
        entries: 5,
        forward_entries: true,
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).await?;
    let set = |cut| {
        for entry in &cluster.entries {
            entry
                .forwarder
                .as_ref()
                .expect("a forwarder")
                .set_fault(cut);
        }
    };
    set(LinkFault::Closed);
    let next = cluster.platform.documents().changed(&new_version())?;
    cluster.platform.publish(next);
    for entry in 0..5 {
        wait_generation(&cluster, entry, 2).await?;
        let mut client = cluster.client(entry).await?;
        let req = prompt_on_new_version(format!("cut off {entry}"));
        let answer = generate(&mut client, req.clone()).await;
        assert_eq!(
            check_completion(&req, &answer.expect("served")),
            CompletionCheck::Correct
        );
    }
    set(LinkFault::None);
    cluster.wait_in_force(0, 2).await
}
