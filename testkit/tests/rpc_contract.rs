//! the contract of each RPC over a real socket: bad input names the field,
//! good input does what the schema says, pages answer

use {
    anyhow::Result,
    chalkcart_protocol::{
        peer::Outcome,
        status::outcome_of,
        v1::{
            admin_client::AdminClient, inference_client::InferenceClient, reserve_request::Work,
            AddVersionRequest, CallRequest, CancelRequest, CreateGroupRequest, GenerateRequest,
            GetStatusRequest, PlanRequest, RegisterAdapterRequest, ReserveRequest,
            RetireVersionRequest, SetShareRequest, WaitInForceRequest,
        },
    },
    chalkcart_state::ids::WeightsDigest,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        load::{check_completion, generate, CompletionCheck},
    },
    http::StatusCode,
    tonic::{transport::Channel, Code, Status},
    tonic_types::StatusExt,
};

type Admin = AdminClient<Channel>;

fn good_prompt() -> GenerateRequest {
    GenerateRequest {
        group: "branches".to_string(),
        class: "counter".to_string(),
        adapter: "loan-1".to_string(),
        version: 2,
        prompt: "explain".to_string(),
        max_tokens: 4,
        ..GenerateRequest::default()
    }
}

fn good_call() -> CallRequest {
    CallRequest {
        group: "branches".to_string(),
        class: "counter".to_string(),
        service: "fee-table".to_string(),
        body: b"table".to_vec(),
        not_repeatable: true,
        reserved_id: "service-0.1.2.3".to_string(),
        timeout_ms: 0,
    }
}

/// the field that a status complains of
fn bad_field(status: &Status) -> Option<String> {
    let details = status.get_details_bad_request()?;
    details.field_violations.first().map(|v| v.field.clone())
}

fn expect_field(refused: Result<(), Status>, field: &str) {
    let status = refused.expect_err(field);
    assert_eq!(status.code(), Code::InvalidArgument, "{field}");
    assert_eq!(bad_field(&status).as_deref(), Some(field), "{status}");
}

async fn prompt_is_refused(
    client: &mut InferenceClient<Channel>,
    change: impl FnOnce(&mut GenerateRequest),
    field: &str,
) {
    let mut req = good_prompt();
    change(&mut req);
    let refused = client.generate(req).await.map(|_| ());
    expect_field(refused, field);
}

async fn call_is_refused(
    client: &mut InferenceClient<Channel>,
    change: impl FnOnce(&mut CallRequest),
    field: &str,
) {
    let mut req = good_call();
    change(&mut req);
    expect_field(client.call(req).await.map(|_| ()), field);
}

#[tokio::test]
async fn callers_rpcs_refuse_bad_input_by_its_field() -> Result<()> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let mut client = cluster.client(0).await?;
    prompt_is_refused(&mut client, |r| r.group = "nobody".into(), "group").await;
    prompt_is_refused(&mut client, |r| r.class = "never".into(), "class").await;
    prompt_is_refused(&mut client, |r| r.adapter = "none".into(), "adapter").await;
    prompt_is_refused(&mut client, |r| r.version = 9, "version").await;
    prompt_is_refused(&mut client, |r| r.prompt.clear(), "prompt").await;
    prompt_is_refused(&mut client, |r| r.prompt = "x".repeat(2 << 20), "prompt").await;
    prompt_is_refused(&mut client, |r| r.max_tokens = 0, "max_tokens").await;
    prompt_is_refused(&mut client, |r| r.max_tokens = 1 << 20, "max_tokens").await;
    prompt_is_refused(&mut client, |r| r.not_repeatable = true, "reserved_id").await;
    prompt_is_refused(
        &mut client,
        |r| r.reserved_id = "a.1.2.3".into(),
        "not_repeatable",
    )
    .await;
    call_is_refused(&mut client, |r| r.group = "nobody".into(), "group").await;
    call_is_refused(&mut client, |r| r.class = "never".into(), "class").await;
    call_is_refused(&mut client, |r| r.service = "none".into(), "service").await;
    call_is_refused(&mut client, |r| r.body = vec![0; 2 << 20], "body").await;
    call_is_refused(
        &mut client,
        |r| r.reserved_id = "what".into(),
        "reserved_id",
    )
    .await;
    call_is_refused(
        &mut client,
        |r| r.reserved_id = "engine-0.1.2.3".into(),
        "reserved_id",
    )
    .await;
    call_is_refused(&mut client, |r| r.reserved_id.clear(), "reserved_id").await;
    let reserve = |work, count| ReserveRequest {
        group: "branches".to_string(),
        count,
        work,
    };
    let cases = [
        (reserve(None, 1), "work"),
        (reserve(Some(Work::Service("none".into())), 1), "service"),
        (reserve(Some(Work::Adapter("none".into())), 1), "adapter"),
        (reserve(Some(Work::Service("fee-table".into())), 0), "count"),
        (
            reserve(Some(Work::Service("fee-table".into())), 1_001),
            "count",
        ),
    ];
    for (req, field) in cases {
        expect_field(client.reserve(req).await.map(|_| ()), field);
    }
    let cancel = CancelRequest {
        reserved_id: "what".to_string(),
    };
    expect_field(client.cancel(cancel).await.map(|_| ()), "reserved_id");
    // a guessed id of the right target
    let guessed = client.call(good_call()).await.expect_err("guessed");
    assert_eq!(outcome_of(&guessed), Outcome::MayHaveRun);
    assert_eq!(cluster.services[0].service.total_runs(), 0);
    Ok(())
}

#[tokio::test]
async fn operators_rpcs_refuse_bad_input_by_its_field() -> Result<()> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let mut admin: Admin = AdminClient::new(cluster.channel(0).await?);
    let group = |group: &str, share| CreateGroupRequest {
        base_generation: 1,
        group: group.to_string(),
        share,
    };
    for (req, field) in [
        (group("", 1), "group"),
        (group("branches", 1), "groups"),
        (group("new", 0), "groups.new.share"),
    ] {
        expect_field(admin.create_group(req).await.map(|_| ()), field);
    }
    let share = SetShareRequest {
        base_generation: 1,
        group: "nobody".to_string(),
        share: 1,
    };
    expect_field(admin.set_share(share).await.map(|_| ()), "group");
    let digest = WeightsDigest::of(b"d").to_string();
    let register = |adapter: &str, digest: &str| RegisterAdapterRequest {
        base_generation: 1,
        adapter: adapter.to_string(),
        group: "branches".to_string(),
        base_model: "base".to_string(),
        digest: digest.to_string(),
    };
    for (req, field) in [
        (register("", &digest), "adapter"),
        (register("loan-1", &digest), "adapter"),
        (register("new", ""), "digest"),
        (register("new", "short"), "digest"),
    ] {
        expect_field(admin.register_adapter(req).await.map(|_| ()), field);
    }
    let version = AddVersionRequest {
        base_generation: 1,
        adapter: "none".to_string(),
        digest: WeightsDigest::of(b"d").to_string(),
    };
    expect_field(admin.add_version(version).await.map(|_| ()), "adapter");
    let retire = RetireVersionRequest {
        base_generation: 1,
        adapter: "loan-1".to_string(),
        version: 9,
    };
    expect_field(admin.retire_version(retire).await.map(|_| ()), "version");
    let plan = PlanRequest {
        adapter: "none".to_string(),
        version: 1,
    };
    expect_field(admin.plan(plan).await.map(|_| ()), "adapter");
    Ok(())
}

#[tokio::test]
async fn a_prompt_is_planned_run_and_seen_in_status_and_metrics() -> Result<()> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let mut client = cluster.client(0).await?;
    let answer = generate(&mut client, good_prompt()).await.expect("served");
    assert_eq!(
        check_completion(&good_prompt(), &answer),
        CompletionCheck::Correct
    );
    let mut admin: Admin = AdminClient::new(cluster.channel(0).await?);
    let plan = PlanRequest {
        adapter: "loan-1".to_string(),
        version: 2,
    };
    let plan = admin.plan(plan).await?.into_inner();
    assert_eq!(plan.targets.len(), 2);
    let status = admin.get_status(GetStatusRequest {}).await?.into_inner();
    assert_eq!(
        (status.r#box.as_str(), status.targets.len()),
        ("entry-0", 3)
    );
    assert!(status.targets.iter().any(|t| t.heard_ms_ago.is_some()));
    let (code, page) = cluster.entries[0].get("/metrics").await?;
    assert_eq!(code, StatusCode::OK);
    let labels = r#"{group="branches",class="counter"}"#;
    for series in [
        "requests_total",
        "completed_total",
        "first_token_seconds_count",
    ] {
        let line = format!("chalkcart_{series}{labels} 1");
        assert!(page.contains(&line), "{line} not in\n{page}");
    }
    for node in cluster.nodes() {
        for path in ["/healthz", "/readyz", "/metrics"] {
            assert_eq!(
                node.get(path).await?.0,
                StatusCode::OK,
                "{} {path}",
                node.name
            );
        }
        assert_eq!(node.get("/nothing").await?.0, StatusCode::NOT_FOUND);
    }
    Ok(())
}

#[tokio::test]
async fn a_generation_that_nobody_published_is_reported_missing() -> Result<()> {
    let cluster = Cluster::start(ClusterSettings::default()).await?;
    let mut admin: Admin = AdminClient::new(cluster.channel(0).await?);
    let req = WaitInForceRequest {
        generation: 7,
        timeout_ms: 10,
    };
    let answer = admin.wait_in_force(req).await?.into_inner();
    assert!(!answer.in_force);
    assert_eq!(answer.missing.len(), cluster.nodes().count());
    Ok(())
}
