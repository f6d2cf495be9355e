//! Responses that break off in their head or right after it, at each byte.
//!
//! Guards against: a response that broke off and that its caller takes for a whole, empty one.

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{
        prompt, request, BackendFault, ClientResponse, Fleet, FleetSettings, RawResponse,
    },
};

const ID: &str = "Chalkcart-Request-Id: {id}\r\n";
const STAMP: &str = "Chalkcart-Response-Stamp: stamp\r\n";
/// A response to another request, which may come in the place of the right one.
const SURPLUS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nChalkcart-Request-Id: another\r\n\
                       Chalkcart-Response-Stamp: stamp\r\n\r\nsurplus";
/// An event and the start of another one.
const PARTIAL_EVENT: &str = "id: 0\ndata: x\n\nid: 1\nda";

/// Returns heads of successful responses, each followed by a body in its framing.
fn heads() -> Vec<(&'static str, String)> {
    let head = |first: &str, framing: &str| format!("{first}\r\n{framing}{ID}{STAMP}\r\n");
    let framing_last = format!("HTTP/1.1 200 OK\r\n{ID}{STAMP}Content-Length: 16\r\n\r\n");
    let unframed = head("HTTP/1.1 200 OK", "Connection: close\r\n");
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    vec![
        ("length", head("HTTP/1.1 200 OK", "Content-Length: 16\r\n")),
        ("length last", framing_last.clone()),
        ("bare line ends", framing_last.replace("\r\n", "\n")),
        (
            "chunks",
            head("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n"),
        ),
        (
            "another coding",
            head("HTTP/1.1 200 OK", "Transfer-Encoding: identity\r\n"),
        ),
        ("unframed", unframed.clone()),
        ("unframed, kept", head("HTTP/1.1 200 OK", "")),
        ("unframed, created", head("HTTP/1.1 201 Created", "")),
        ("HTTP/1.0", head("HTTP/1.0 200 OK", "")),
        (
            "HTTP/1.0, length",
            head("HTTP/1.0 200 OK", "Content-Length: 16\r\n"),
        ),
        (
            "after a 100",
            format!("HTTP/1.1 100 Continue\r\n\r\n{unframed}"),
        ),
        ("after a 103", format!("{hints}{unframed}")),
        ("after a surplus response", format!("{SURPLUS}{unframed}")),
    ]
}

fn set_raw(fleet: &Fleet, response: &RawResponse) {
    for backend in fleet.plain.iter().chain(&fleet.engines) {
        backend.state().raw_response = response.clone();
        backend.set_fault(BackendFault::Raw, u32::MAX);
    }
}

/// Starts a fleet with two engines, each with the adapter.
async fn start_engines() -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines: 2,
        stream_attempts: 1,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    Ok(fleet)
}

fn is_whole_success(response: &ClientResponse) -> bool {
    (200..300).contains(&response.status) && response.is_complete
}

/// Guards against: an engine with an older protocol version, which the entry took over towards
/// its client: a stream that broke off ended with an orderly close, as if it were whole.
#[tokio::test]
async fn an_engines_protocol_version_is_not_that_of_the_response() -> Result<()> {
    let fleet = start_engines().await?;
    for (case, head) in heads() {
        set_raw(&fleet, &RawResponse::new(format!("{head}{PARTIAL_EVENT}")));
        let response = request(fleet.clients, &prompt("a", &case.replace(' ', "-"))).await;
        let is_whole = response.as_ref().is_ok_and(is_whole_success);
        assert!(!is_whole, "{case}: {response:?}");
        let version = response
            .ok()
            .and_then(|r| r.head.start_line.first().cloned());
        assert!(
            version.is_none_or(|version| version == "HTTP/1.1"),
            "{case}"
        );
    }
    Ok(())
}
