//! Guards against an engine's answer whose head is spoilt where it tells the length of the body, or
//! its status, and that the client gets as a complete one, with a body that is not the engine's.

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{
        prompt, request, BackendFault, ClientRequest, Fleet, FleetSettings, RawEnd, RawResponse,
    },
    std::time::Duration,
    tokio::time::timeout,
};

const BODY: &str = "the whole answer";
const CHUNKS: &str = "10\r\nthe whole answer\r\n0\r\n\r\n";
const ID: &str = "Chalkcart-Request-Id: {id}\r\nChalkcart-Response-Stamp: stamp\r\n";
const OK: &str = "HTTP/1.1 200 OK";
/// A client waits no longer; the deadline of the requests is later.
const PATIENCE: Duration = Duration::from_secs(6);

fn response(status: &str, framing: &str, body: &str) -> String {
    format!("{status}\r\n{ID}{framing}\r\n\r\n{body}")
}

/// Responses that no client may get as complete ones.
fn spoilt() -> Vec<String> {
    let of_chunks = [
        "Transfer-Encoding: chunke",
        "Transfer-Encoding: chunked, x",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding:",
        "Transfer-Encodin: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Transfer-Encoding: chunke\r\nContent-Length: 5",
        "Transfer-Encoding: chunked\r\nX Y: z",
    ];
    let of_length = [
        "Content-Length: 16, 17",
        "Transfer-Encoding: identity\r\nContent-Length: 5",
        "Content-Length: 1x",
        "Content-Length: 0",
        "Content-Length: 6",
        "Content-Length: 15",
        "Content-Length 16",
        "Content-Lengt\u{1}: 16",
        "Kontent-Length: 16",
        "Content-Length: 16\r\nno field at all",
        "Content-Length: 16\r\nX\u{1}Y: z",
    ];
    let statuses = ["000", "101", "204", "205", "600", "999"];
    let mut spoilt: Vec<String> = Vec::new();
    spoilt.extend(of_chunks.map(|framing| response(OK, framing, CHUNKS)));
    spoilt.extend(of_length.map(|framing| response(OK, framing, BODY)));
    spoilt.extend(
        statuses
            .map(|status| response(&format!("HTTP/1.1 {status} OK"), "Content-Length: 16", BODY)),
    );
    spoilt
}

async fn assert_failures(target: &str) -> Result<()> {
    let fleet = Fleet::start(FleetSettings {
        engines: 1,
        plain: 1,
        stream_attempts: 1,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    let cases = spoilt()
        .into_iter()
        .flat_map(|text| [RawEnd::Close, RawEnd::Keep].map(|end| (text.clone(), end)));
    for (number, (text, end)) in cases.enumerate() {
        for backend in fleet.engines.iter().chain(&fleet.plain) {
            backend.state().raw_response = RawResponse {
                end,
                ..RawResponse::new(&text)
            };
            backend.set_fault(BackendFault::Raw, u32::MAX);
        }
        let id = format!("{number:04}");
        let sent = match target {
            "/stream/" => prompt("a", &id),
            _ => ClientRequest {
                target: target.to_string(),
                id,
                ..ClientRequest::default()
            },
        };
        let response = timeout(PATIENCE, request(fleet.clients, &sent)).await;
        let response = response.map_err(|_| anyhow::anyhow!("{text:?}: no answer"))??;
        assert_eq!(response.status, 502, "{text:?}");
        assert!(response.is_complete, "{text:?}");
    }
    Ok(())
}

#[tokio::test]
async fn an_answer_with_a_spoilt_head_is_a_failure() -> Result<()> {
    assert_failures("/unsafe/").await
}

#[tokio::test]
async fn a_stream_with_a_spoilt_head_is_a_failure() -> Result<()> {
    assert_failures("/stream/").await
}
