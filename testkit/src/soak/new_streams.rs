//! Clients that begin streams one after the other and leave after the first event, to see how many
//! new ones begin while others are taken up.

use {
    super::{
        keep_alive_client::{outcome_of, ClientSettings},
        Outcome, RequestKind, RequestRecord,
    },
    crate::users_platform::{prompt, send_on, ClientRequest},
    anyhow::Result,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::sleep},
};

/// Number of these clients.
pub const NEW_STREAM_CLIENTS: usize = 3;
const PAUSE: Duration = Duration::from_millis(100);

/// Begins streams at the entries in turn until `stop` is set. Entries that accept no connection are
/// left out, as they are by clients that take streams up.
pub async fn begin_streams(
    entries: Vec<SocketAddr>,
    client: usize,
    settings: ClientSettings,
    stop: Arc<AtomicBool>,
) -> Vec<RequestRecord> {
    let mut requests = Vec::new();
    let mut turn = client;
    while !stop.load(Ordering::Relaxed) {
        sleep(PAUSE).await;
        turn += 1;
        let Ok(socket) = TcpStream::connect(entries[turn % entries.len()]).await else {
            continue;
        };
        let id = format!("n{client}-{turn}");
        let request = ClientRequest {
            deadline_ms: settings.deadline_ms,
            body: settings.body(&id),
            ..prompt(&format!("a{}", turn % 2), &id)
        };
        let sent_at = Instant::now();
        let outcome = begin_stream(socket, &request).await;
        requests.push(RequestRecord {
            id: request.id,
            kind: RequestKind::Stream,
            sent_at: Some(sent_at),
            taken_up: None,
            outcome: outcome.unwrap_or(Outcome::ConnectionLost),
        });
    }
    requests
}

/// Reads the first event of a stream, if it has one.
async fn begin_stream(socket: TcpStream, request: &ClientRequest) -> Result<Outcome> {
    let mut stream = send_on(socket, request).await?;
    if stream.status()? != 200 {
        return Ok(outcome_of(&stream.finish().await?));
    }
    // an event that does not come leaves the stream without one
    let _ = stream.read_until("\n\n").await;
    Ok(outcome_of(&stream.leave()?))
}
