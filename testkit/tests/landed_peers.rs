//! Compatibility with peers of released builds: messages of their recorded bytes, and views in
//! the encodings that they read.

use {
    anyhow::Result,
    bytes::Bytes,
    chalkcart_protocol::frame_codec,
    chalkcart_testkit::{
        users_platform::{prompt, request, serve_prompt, Fleet, FleetSettings},
        waiting::until_async,
    },
    chalkcart_transport::client::HttpClient,
    futures::{StreamExt, TryStreamExt},
    http::{Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    serde::Deserialize,
    std::{io, time::Duration},
    tokio::time::timeout,
    tokio_util::{codec::FramedRead, io::StreamReader},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const VIEWS: &str = "/peer/views";
const RELAY_PUBLISHED: &str = "/peer/relay/published";
/// An encoded message without content (MessagePack nil).
const EMPTY_MESSAGE: &[u8] = &[0xc0];

/// The incarnation of an engine in the current encoding.
#[derive(Debug, Deserialize)]
struct Incarnation {
    name: String,
}

/// The field of a view that these tests check.
#[derive(Debug, Deserialize)]
struct View<I> {
    backend: I,
}

#[derive(Debug, Deserialize)]
#[allow(dead_code)]
enum Update<I> {
    Whole(View<I>),
    Changed(serde::de::IgnoredAny),
    Figures(serde::de::IgnoredAny),
}

async fn fleet() -> Result<Fleet> {
    Fleet::start(FleetSettings {
        engines: 1,
        plain: 0,
        ..FleetSettings::default()
    })
    .await
}

/// Returns the first frame of a sidecar's views for an entry that sends no version.
async fn first_frame(fleet: &Fleet) -> Result<Bytes> {
    let sidecar = fleet.sidecar_addr(0);
    let req = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{sidecar}{VIEWS}"))
        .body(Full::new(Bytes::from_static(EMPTY_MESSAGE)))?;
    let response = HttpClient::new().request(sidecar, req).await?;
    let data = response.into_body().into_data_stream();
    let reader = StreamReader::new(data.map_err(io::Error::other));
    let mut frames = FramedRead::new(reader, frame_codec());
    let frame = timeout(TIMEOUT, frames.next()).await?;
    Ok(frame.expect("a frame")?.freeze())
}

async fn post(fleet: &Fleet, path: &str, body: Vec<u8>) -> Result<(StatusCode, Bytes)> {
    let sidecar = fleet.sidecar_addr(0);
    let client = HttpClient::new();
    let response = client.exchange(
        sidecar,
        Method::POST,
        path,
        "application/msgpack",
        Bytes::from(body),
        TIMEOUT,
    );
    Ok(response.await?)
}

fn recorded(build: &str, name: &str) -> Vec<u8> {
    let mut lines = build.lines();
    let line = lines.find(|line| line.split(' ').nth(1) == Some(name));
    let hex = line
        .and_then(|line| line.split(' ').nth(2))
        .expect("recorded");
    hex::decode(hex).expect("hex")
}

const OLDEST_BUILD: &str = include_str!("../../protocol/tests/recorded/2205e90.txt");
const THIRD_BUILD: &str = include_str!("../../protocol/tests/recorded/f7a7cb2.txt");

/// Views for an entry that sends no version have named fields.
#[tokio::test]
async fn an_entry_without_a_version_reads_the_views_of_a_sidecar() -> Result<()> {
    let fleet = fleet().await?;
    // the engine is identified once this is served
    serve_prompt(&fleet, "a", "first").await?;
    let frame = first_frame(&fleet).await?;
    let update: Update<Incarnation> = rmp_serde::from_slice(&frame)?;
    let Update::Whole(view) = update else {
        panic!("{update:?}");
    };
    assert_eq!(view.backend.name, fleet.engines[0].id());
    Ok(())
}

/// The demands of such an entry show that it encodes incarnations as text.
#[tokio::test]
async fn an_entry_of_the_oldest_build_reads_the_views_of_a_sidecar() -> Result<()> {
    let fleet = fleet().await?;
    serve_prompt(&fleet, "a", "first").await?;
    let (status, _) = post(&fleet, "/peer/demand", recorded(OLDEST_BUILD, "demand")).await?;
    assert_eq!(status, StatusCode::OK);
    let update: Update<String> = rmp_serde::from_slice(&first_frame(&fleet).await?)?;
    assert!(matches!(update, Update::Whole(view) if view.backend == fleet.engines[0].id()));
    // replaced by a newer build on the same machine
    let (status, _) = post(&fleet, "/peer/demand", recorded(THIRD_BUILD, "demand")).await?;
    assert_eq!(status, StatusCode::OK);
    let update: Update<Incarnation> = rmp_serde::from_slice(&first_frame(&fleet).await?)?;
    assert!(matches!(update, Update::Whole(_)));
    Ok(())
}

/// Such an entry may not support all kinds of records.
#[tokio::test]
async fn an_entry_without_a_version_reads_the_store_directly() -> Result<()> {
    let fleet = fleet().await?;
    let request_body = recorded(THIRD_BUILD, "published_ask");
    let (status, response) = post(&fleet, RELAY_PUBLISHED, request_body).await?;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(response, recorded(THIRD_BUILD, "published_stale"));
    Ok(())
}

#[tokio::test]
async fn an_unreadable_message_is_rejected_and_logged_once() -> Result<()> {
    let fleet = fleet().await?;
    for _ in 0..5 {
        let (status, _) = post(&fleet, "/peer/demand", EMPTY_MESSAGE.to_vec()).await?;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    }
    let log = fleet.settings_file.with_file_name("side-0.log");
    until_async("the line is written", || async {
        let text = std::fs::read_to_string(&log).unwrap_or_default();
        text.matches("message not read").count() == 1
    })
    .await;
    let response = request(fleet.clients, &prompt("a", "after")).await?;
    assert_ne!(response.status, 500);
    Ok(())
}
