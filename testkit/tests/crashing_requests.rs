//! Requests that end each engine that begins to run them.
//!
//! Seen: one request ended 21 engines in 20 s, each with all that it ran; it was sent to 14
//! of them after the first three had ended under it. How it came about: its clients came
//! back with another request id, to any entry, and each time an entry chose a sound engine.
//! Cause: nothing outlived the id of a try, so no process could know that a request had ended
//! engines before. Proof: the marks of content in the entries' lines show one and the same
//! request under each end, and with what is remembered here taken out these tests fail again.

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{prompt, request, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
    std::net::SocketAddr,
};

const CRASHING: &[u8] = b"ends each engine that runs it";
/// tries of the request, far more than may reach engines
const TRIES: u32 = 14;
/// engines that may end before a request is known, and tries that may still reach engines
/// until each entry knows it
const MOST_ENDED: u32 = 3 + 3;

async fn start(engines: u8) -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().crashed_by = Some(CRASHING.to_vec());
    }
    Ok(fleet)
}

fn with_body(id: &str, body: &[u8]) -> ClientRequest {
    ClientRequest {
        body: body.to_vec(),
        ..prompt("a", id)
    }
}

fn ended(fleet: &Fleet) -> u32 {
    fleet.engines.iter().map(|e| e.state().crashes).sum()
}

/// serve an innocent prompt, so that all engines are known to be back
async fn wait_until_served(entry: SocketAddr) {
    until_async("another prompt is served", || async {
        let answer = request(entry, &with_body("other", b"another prompt")).await;
        answer.is_ok_and(|answer| answer.status == 200 && answer.is_whole)
    })
    .await;
}

/// the status of one try; none if the answer broke off
async fn try_crashing(entry: SocketAddr, number: u32) -> Option<u16> {
    let id = format!("crashing-{number}");
    let answer = request(entry, &with_body(&id, CRASHING)).await;
    let answer = answer.ok().filter(|answer| answer.is_whole)?;
    Some(answer.status)
}

/// it comes again and again, under other ids, at both entries
#[tokio::test]
async fn a_request_that_ends_engines_is_soon_sent_to_none() -> Result<()> {
    let fleet = start(4).await?;
    let other = fleet.start_other_ingress("front-2").await?;
    let mut last = None;
    for number in 0..TRIES {
        let entry = [fleet.clients, other.clients][number as usize % 2];
        last = try_crashing(entry, number).await;
        wait_until_served(entry).await;
    }
    let ended = ended(&fleet);
    assert!(ended <= MOST_ENDED, "{ended} engines ended");
    // a final answer, without an invitation to come back
    assert_eq!(last, Some(400));
    Ok(())
}
