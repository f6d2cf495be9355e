//! No crowd of clients ends or hangs a process at any of its doors: pages, sidecars, calls.
//!
//! One crowd at a time; the limits of the machines are lowered, so that small ones do.

mod crowds_fixture;

use {
    anyhow::{ensure, Result},
    bytes::Bytes,
    chalkcart_protocol::{
        peer::path,
        v1::{admin_client::AdminClient, GenerateRequest, GetStatusRequest},
    },
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        load::generate,
        users_platform::{metrics_text, Fleet},
        waiting::until_async,
    },
    crowds_fixture::{
        alone, check, check_limits, check_memory, connections, crowd, small_fleet, Framing, Shape,
        CROWD, MEMORY_MIB,
    },
    futures::stream::{self, StreamExt},
    http::{header::CONTENT_TYPE, Method, Request, StatusCode},
    http_body::Frame,
    http_body_util::StreamBody,
    hyper::client::conn::http2,
    hyper_util::rt::{TokioExecutor, TokioIo},
    rand::{rngs::StdRng, SeedableRng},
    serde_json::json,
    std::{convert::Infallible, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, task::JoinSet, time::sleep},
};

/// Largest message between processes, in bytes.
const MAX_MESSAGE: usize = 8 * 1024 * 1024;
/// Connections that send one each.
const MESSAGES: usize = 20;
/// Half a head.
const HALF: &[u8] = b"GET /metrics HTTP/1.1\r\nHost: x\r\nx: y";
const RPC_HEADER: &str = "Content-Type: application/grpc\r\n";
/// Beginning of a message of a call with nearly 4 MiB, the largest that is decoded.
const RPC_START: &[u8] = &[0, 0, 0x3f, 0xff, 0xf0];

/// A message of legal size that stops one byte short.
fn message(framing: Framing) -> Shape {
    Shape {
        sent: MAX_MESSAGE - 1,
        piece: MAX_MESSAGE / 64,
        ..Shape::short_by_one(framing)
    }
}

/// Crowds of messages: with a length, in large chunks, and byte by byte.
fn messages(headers: &'static str, start: &'static [u8]) -> Vec<Shape> {
    let mut shapes = vec![message(Framing::Length(MAX_MESSAGE)); MESSAGES];
    shapes.extend(vec![message(Framing::Chunks(65_536)); MESSAGES]);
    shapes.extend(vec![Shape::slow_chunks(); CROWD]);
    shapes
        .into_iter()
        .map(|shape| Shape {
            headers,
            start,
            ..shape
        })
        .collect()
}

async fn check_sidecar(fleet: &mut Fleet, what: &str) -> Result<()> {
    let process = fleet.sidecars[0].id();
    let addr = fleet.sidecar_addr(0);
    until_async(&format!("{what}: the sidecar answers"), || async {
        let mut page = connections(addr, 1, b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").await;
        match page.first_mut() {
            Some(socket) => crowds_fixture::status(socket).await == Some(200),
            None => false,
        }
    })
    .await;
    check_limits(process, what)?;
    check(fleet, what).await
}

/// Guards against messages to a sidecar that stop short taking all memory.
#[tokio::test(flavor = "multi_thread")]
async fn messages_that_stop_short_end_no_sidecar() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let addr = fleet.sidecar_addr(0);
    let _clients = crowd(addr, path::DEMAND, messages("", b"")).await;
    check_sidecar(&mut fleet, "messages to a sidecar").await
}

/// Guards against any crowd of messages (seeded) before a sidecar.
#[tokio::test(flavor = "multi_thread")]
async fn no_crowd_of_messages_ends_a_sidecar() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let mut rng = StdRng::seed_from_u64(1);
    let shapes = (0..CROWD).map(|_| Shape::draw(&mut rng)).collect();
    let addr = fleet.sidecar_addr(0);
    let _clients = crowd(addr, path::DEMAND, shapes).await;
    check_sidecar(&mut fleet, "any messages to a sidecar").await
}

/// Guards against connections with half a head before a sidecar taking all its places, so that no
/// entry reaches it.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_leave_places_at_a_sidecar() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let addr = fleet.sidecar_addr(0);
    let _clients = connections(addr, 5 * CROWD, HALF).await;
    check_sidecar(&mut fleet, "half heads at a sidecar").await
}

/// Guards against connections to an entry's pages taking its descriptors, or the pages.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_at_pages_leave_descriptors_and_the_pages() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let _readiness = connections(fleet.readiness, 3 * CROWD, HALF).await;
    let _metrics = connections(fleet.metrics, 3 * CROWD, HALF).await;
    fleet.wait_ready().await;
    let metrics = fleet.metrics;
    until_async("the metrics page is served", || async {
        !metrics_text(metrics).await.is_empty()
    })
    .await;
    check(&mut fleet, "half heads at pages").await
}

fn prompt() -> GenerateRequest {
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

/// A cluster of which the entry and its targets have little memory.
async fn small_cluster() -> Result<Cluster> {
    let memory = json!({"memory_mb": MEMORY_MIB});
    let settings = memory.as_object().cloned().unwrap_or_default();
    Cluster::start(ClusterSettings {
        entries: 1,
        entry_settings: settings.clone(),
        sidecar_settings: settings,
        ..ClusterSettings::default()
    })
    .await
}

/// Checks that the entry lives within its memory, and that ordinary calls are answered.
async fn check_calls(cluster: &Cluster, what: &str) -> Result<()> {
    let process = cluster.entries[0].process.id();
    check_memory(process, what)?;
    until_async(&format!("{what}: an ordinary call is answered"), || async {
        let Ok(mut client) = cluster.client(0).await else {
            return false;
        };
        generate(&mut client, prompt()).await.is_ok()
    })
    .await;
    let mut admin = AdminClient::new(cluster.channel(0).await?);
    ensure!(
        admin.get_status(GetStatusRequest {}).await.is_ok(),
        "{what}"
    );
    check_memory(process, what)
}

/// Crowds of calls that stop short of their end, which they announce.
fn calls() -> Vec<Shape> {
    let mut calls = messages(RPC_HEADER, RPC_START);
    for call in &mut calls {
        call.sent = call.sent.min(MAX_MESSAGE / 2 - 64);
    }
    calls
}

/// Guards against calls that stop short taking all memory, each on a connection of its own.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_stop_short_end_no_entry() -> Result<()> {
    let _alone = alone().await;
    let cluster = small_cluster().await?;
    let addr = cluster.entries[0].listen;
    let call = "/chalkcart.v1.Inference/Call";
    let _clients = crowd(addr, call, calls()).await;
    check_calls(&cluster, "calls that stop short").await
}

/// A body of an HTTP/2 request: a message in frames of this size, one after the other, that never
/// ends.
fn frames(size: usize, count: usize) -> StreamBody<FrameStream> {
    let start = stream::iter([Ok(Frame::data(Bytes::from_static(RPC_START)))]);
    let frames = stream::iter(0..count).then(move |_| async move {
        sleep(Duration::from_micros(200)).await;
        Ok(Frame::data(Bytes::from(vec![0; size])))
    });
    StreamBody::new(Box::pin(start.chain(frames).chain(stream::pending())))
}

type FrameStream =
    std::pin::Pin<Box<dyn futures::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send>>;

/// Opens a connection with requests whose bodies never end, and keeps it.
async fn streams(addr: SocketAddr, requests: usize, size: usize, count: usize) -> Result<()> {
    let socket = TokioIo::new(TcpStream::connect(addr).await?);
    let (mut sender, connection) = http2::Builder::new(TokioExecutor::new())
        .handshake(socket)
        .await?;
    tokio::spawn(connection);
    let mut sent = JoinSet::new();
    for _ in 0..requests {
        let req = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{addr}/chalkcart.v1.Inference/Call"))
            .header(CONTENT_TYPE, "application/grpc")
            .body(frames(size, count))?;
        sender.ready().await?;
        sent.spawn(sender.send_request(req));
    }
    while let Some(response) = sent.join_next().await {
        if let Ok(Ok(response)) = response {
            ensure!(
                response.status() == StatusCode::OK,
                "not a status of the protocol"
            );
        }
    }
    Ok(())
}

/// Guards against requests of one connection that never end taking all memory: many, in frames of
/// one byte or of many.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_never_end_on_few_connections_end_no_entry() -> Result<()> {
    let _alone = alone().await;
    let cluster = small_cluster().await?;
    let addr = cluster.entries[0].listen;
    let mut crowd = JoinSet::new();
    for _ in 0..8 {
        crowd.spawn(streams(addr, 1_000, 1, 200));
        crowd.spawn(streams(addr, 40, 16_000, 60));
    }
    sleep(Duration::from_secs(4)).await;
    check_calls(&cluster, "requests that never end").await
}

/// Guards against connections with half a head, or none, before an entry for calls.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_before_an_entry_for_calls_end_nothing() -> Result<()> {
    let _alone = alone().await;
    let cluster = small_cluster().await?;
    let addr = cluster.entries[0].listen;
    let _half = connections(addr, 5 * CROWD, HALF).await;
    let _silent = connections(addr, 5 * CROWD, b"").await;
    let process = cluster.entries[0].process.id();
    until_async("an ordinary call is answered", || async {
        cluster.client(0).await.is_ok()
    })
    .await;
    check_memory(process, "half heads before an entry for calls")
}
