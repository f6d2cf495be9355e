//! Responses that break off in their head or right after it, at each byte.
//!
//! Guards against: a response that broke off and that its caller takes for a whole, empty one.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{
            prompt, request, BackendFault, ClientRequest, ClientResponse, Fleet, FleetSettings,
            RawEnd, RawResponse,
        },
        waiting::until,
    },
    serde_json::json,
    std::{collections::BTreeMap, time::Duration},
};

const BODY: &str = "the whole answer";
const ID: &str = "Chalkcart-Request-Id: {id}\r\n";
const STAMP: &str = "Chalkcart-Response-Stamp: stamp\r\n";
/// A response to another request, which may come in the place of the right one.
const SURPLUS: &str = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nChalkcart-Request-Id: another\r\n\
                       Chalkcart-Response-Stamp: stamp\r\n\r\nsurplus";
/// An event and the start of another one.
const PARTIAL_EVENT: &str = "id: 0\ndata: x\n\nid: 1\nda";
/// Time between two bytes of a slow response.
const SLOW: Duration = Duration::from_millis(1);

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

fn sent(target: &str, id: &str) -> ClientRequest {
    ClientRequest {
        target: target.to_string(),
        id: id.to_string(),
        ..ClientRequest::default()
    }
}

fn set_raw(fleet: &Fleet, response: &RawResponse) {
    for backend in fleet.plain.iter().chain(&fleet.engines) {
        backend.state().raw_response = response.clone();
        backend.set_fault(BackendFault::Raw, u32::MAX);
    }
}

async fn start(plain: u8) -> Result<Fleet> {
    Fleet::start(FleetSettings {
        plain,
        ..FleetSettings::default()
    })
    .await
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

/// Guards against: a response that ended at any byte of its head, or right after it, and that
/// reaches its caller as a whole one: 200 with `Content-Length: 0`.
#[tokio::test]
async fn a_response_cut_at_any_byte_of_its_head_is_no_success() -> Result<()> {
    let fleet = start(1).await?;
    let mut wrong: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    let mut count = 0;
    for (case, head) in heads() {
        for end in [RawEnd::Close, RawEnd::Reset] {
            for bytes in 0..=head.len() {
                count += 1;
                let response = RawResponse {
                    cut_at: Some(bytes),
                    end,
                    ..RawResponse::new(&head)
                };
                set_raw(&fleet, &response);
                // of the same length as its placeholder
                let id = format!("{count:04}");
                let response = request(fleet.clients, &sent("/unsafe/", &id)).await?;
                if response.status != 502 || !response.is_complete {
                    let what = format!("{case}, {end:?}: {}", response.status);
                    wrong.entry(what).or_default().push(bytes);
                }
            }
        }
    }
    assert!(wrong.is_empty(), "of {count}: {wrong:?}");
    assert_eq!(fleet.plain[0].runs().len(), count);
    Ok(())
}

/// Guards against: a request that may run again and is answered with the empty body of an engine
/// that broke off, although another one could serve it.
#[tokio::test]
async fn a_repeatable_request_is_served_by_another_back_end() -> Result<()> {
    for case in ["length", "unframed", "HTTP/1.0"] {
        // a back end that broke off is avoided for a while
        let fleet = start(2).await?;
        let head = heads().into_iter().find(|(name, _)| *name == case);
        set_raw(&fleet, &RawResponse::new(head.expect("a head").1));
        fleet.plain[1].set_fault(BackendFault::None, 0);
        let mut count = 0;
        while fleet.plain[0].runs().is_empty() {
            count += 1;
            let response = request(fleet.clients, &sent("/safe/", &format!("r{count}"))).await?;
            assert!(is_whole_success(&response), "{case}: {}", response.status);
            assert_eq!(response.body, BODY.as_bytes(), "{case}");
        }
        assert_eq!(fleet.plain[1].runs().len(), count, "{case}");
    }
    Ok(())
}

/// Guards against: two back ends that break off after an unframed head, and an empty success.
#[tokio::test]
async fn a_repeatable_request_that_all_break_off_is_no_success() -> Result<()> {
    for case in ["length", "unframed", "HTTP/1.0"] {
        // the budget of an entry that has just started allows one repeat
        let fleet = start(2).await?;
        let head = heads().into_iter().find(|(name, _)| *name == case);
        set_raw(&fleet, &RawResponse::new(head.expect("a head").1));
        let response = request(fleet.clients, &sent("/safe/", "r")).await?;
        assert_eq!(response.status, 502, "{case}");
        let runs: usize = fleet.plain.iter().map(|p| p.runs().len()).sum();
        assert_eq!(runs, 2, "{case}");
    }
    Ok(())
}

/// Guards against: a request whose only back end failed, and that waits for one that is not
/// listed: until its deadline where the latency objective is long.
#[tokio::test]
async fn a_request_that_failed_everywhere_does_not_wait() -> Result<()> {
    let mut fleet = start(1).await?;
    fleet.configure(|document| document["Routes"][0]["TargetLatencyMs"] = json!(60_000));
    let version = format!("configuration {} in force", fleet.version());
    until("the configuration is applied", || {
        fleet.log().contains(&version)
    })
    .await;
    set_raw(&fleet, &RawResponse::new(""));
    let response = request(fleet.clients, &sent("/safe/", "r")).await?;
    assert_eq!(response.status, 502);
    // at the deadline the text is another one
    let text = String::from_utf8_lossy(&response.body).to_string();
    assert_eq!(text.trim_end(), "no_backend");
    assert_eq!(fleet.plain[0].runs().len(), 1);
    Ok(())
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

/// Guards against: a stream route whose engine breaks off after a head of another format than
/// events, and whose client gets a whole empty body.
#[tokio::test]
async fn a_streamed_response_cut_after_its_head_is_broken_off() -> Result<()> {
    let fleet = start_engines().await?;
    for (case, head) in heads() {
        for content_type in ["", "Content-Type: application/json\r\n"] {
            let head = head.replace(STAMP, &format!("{STAMP}{content_type}"));
            set_raw(&fleet, &RawResponse::new(&head));
            let id = format!("{}{}", case.replace(' ', "-"), content_type.len());
            // the head may not have been sent when the body fails
            let response = request(fleet.clients, &prompt("a", &id)).await;
            let is_whole = response.as_ref().is_ok_and(is_whole_success);
            assert!(!is_whole, "{case} {content_type}: {response:?}");
            let old = ClientRequest {
                protocol: "HTTP/1.0",
                ..prompt("a", &format!("{id}-old"))
            };
            let response = request(fleet.clients, &old).await;
            let is_whole = response.as_ref().is_ok_and(is_whole_success);
            assert!(!is_whole, "HTTP/1.0, {case} {content_type}: {response:?}");
        }
    }
    Ok(())
}

/// Guards against: a sound response that is taken for one that broke off: unframed with any body,
/// after informational heads, byte by byte, or without a body by its status or method.
#[tokio::test]
async fn sound_responses_are_delivered_whole() -> Result<()> {
    let fleet = start(1).await?;
    let framings = [
        "length",
        "length last",
        "bare line ends",
        "HTTP/1.0, length",
    ];
    let unframed = heads().into_iter().filter(|(case, _)| *case != "chunks");
    let unframed = unframed.filter(|(case, _)| *case != "after a surplus response");
    for (case, head) in unframed {
        let is_framed = framings.contains(&case);
        let bodies = [BODY, "x", "\n"]
            .into_iter()
            .take(if is_framed { 1 } else { 3 });
        for (number, body) in bodies.enumerate() {
            for parts in [None, Some((1, SLOW))] {
                let response = RawResponse {
                    parts,
                    ..RawResponse::new(format!("{head}{body}"))
                };
                set_raw(&fleet, &response);
                let id = format!("{}-{number}-{}", case.replace(' ', "-"), parts.is_some());
                let response = request(fleet.clients, &sent("/unsafe/", &id)).await?;
                assert!(is_whole_success(&response), "{id}: {}", response.status);
                assert_eq!(response.data(), body.as_bytes(), "{id}");
            }
        }
    }
    Ok(())
}

/// Guards against: a response without a body by definition, or with an empty one by its framing,
/// that is taken for one that broke off.
#[tokio::test]
async fn responses_without_a_body_are_delivered() -> Result<()> {
    let fleet = start(1).await?;
    let cases = [
        ("204 No Content", "", "POST", 204),
        ("304 Not Modified", "", "POST", 304),
        ("200 OK", "Content-Length: 0\r\n", "POST", 200),
        ("404 Not Found", "Content-Length: 0\r\n", "POST", 404),
        ("200 OK", "Content-Length: 0\r\n", "HEAD", 200),
        ("200 OK", "", "HEAD", 200),
    ];
    for (status_line, framing, method, status) in cases {
        let head = format!("HTTP/1.1 {status_line}\r\n{framing}{ID}{STAMP}\r\n");
        set_raw(&fleet, &RawResponse::new(&head));
        let sent = ClientRequest {
            method,
            // the client knows no method without a body
            headers: vec![("Connection".to_string(), "close".to_string())],
            ..sent("/unsafe/", &format!("{method}-{status}"))
        };
        let response = request(fleet.clients, &sent).await?;
        assert_eq!(response.status, status, "{status_line} {method}");
        assert!(response.is_complete, "{status_line} {method}");
        assert_eq!(response.body, b"", "{status_line} {method}");
    }
    Ok(())
}

/// Guards against: a short unframed body whose connection was reset and that counts as whole.
#[tokio::test]
async fn an_unframed_body_that_was_reset_is_no_success() -> Result<()> {
    let fleet = start(1).await?;
    for (case, head) in heads() {
        for bytes in 1..BODY.len() {
            let response = RawResponse {
                end: RawEnd::Reset,
                // the reset comes after the bytes were read
                parts: Some((head.len() + bytes, SLOW)),
                ..RawResponse::new(format!("{head}{}", &BODY[..bytes]))
            };
            set_raw(&fleet, &response);
            let id = format!("{}-{bytes}", case.replace(' ', "-"));
            let response = request(fleet.clients, &sent("/unsafe/", &id)).await?;
            assert_eq!(response.status, 502, "{id}");
        }
    }
    Ok(())
}
