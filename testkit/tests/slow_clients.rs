//! Guards against clients that lose the rest of a whole answer because they read nothing for some
//! seconds, around planned work and in calm (review/5).

use {
    anyhow::Result,
    chalkcart_testkit::{
        users_platform::{prompt, send_on, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
    quickcheck::{Arbitrary, Gen},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpSocket, time::sleep},
};

const SEED: u64 = 93;
const CLIENTS: u64 = 12;
/// As many events as the users' longest streams have.
const EVENTS: u32 = 261;
const EVENT_BYTES: usize = 240;
const EVENT_INTERVAL: Duration = Duration::from_millis(4);

/// A client that reads the head of its answer, pauses, and reads on.
#[derive(Debug, Clone, Copy)]
struct SlowClient {
    /// Size of the receive buffer, which holds a part of the answer.
    buffer: u32,
    pause: Duration,
}

impl Arbitrary for SlowClient {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            buffer: 4_096 << (u8::arbitrary(g) % 4),
            pause: Duration::from_millis(2_300 + u64::arbitrary(g) % 1_700),
        }
    }
}

impl SlowClient {
    /// Returns whether the answer arrived whole.
    async fn fetch(self, entry: SocketAddr, id: String) -> Result<bool> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(self.buffer)?;
        let sent = ClientRequest {
            deadline_ms: 30_000,
            ..prompt("a", &id)
        };
        let open = send_on(socket.connect(entry).await?, &sent).await?;
        sleep(self.pause).await;
        let response = open.finish().await?;
        Ok(response.status == 200 && response.is_complete)
    }
}

async fn start() -> Result<Fleet> {
    let fleet = Fleet::start(FleetSettings {
        engines: 2,
        timeout_ms: 30_000,
        grace_s: 12.0,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.orders.held.insert("a".to_string(), 1);
        state.event_count = EVENTS;
        state.event_interval = EVENT_INTERVAL;
        state.event_data = "x".repeat(EVENT_BYTES);
    }
    Ok(fleet)
}

/// Returns how many of the answers arrived whole.
async fn whole_answers(fleet: &Fleet, seed: u64, terminates: bool) -> Result<usize> {
    let mut g = Gen::from_size_and_seed(20, seed);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = SlowClient::arbitrary(&mut g);
            tokio::spawn(client.fetch(fleet.clients, format!("slow-{seed}-{number}")))
        })
        .collect();
    if terminates {
        until_async("all of them run", || async {
            let runs = fleet.engines.iter().map(|engine| engine.runs().len());
            runs.sum::<usize>() >= CLIENTS as usize
        })
        .await;
        fleet.ingress.terminate()?;
    }
    let mut whole = 0;
    for client in clients {
        whole += usize::from(client.await?.unwrap_or(false));
    }
    Ok(whole)
}

#[tokio::test]
async fn clients_that_pause_get_whole_answers() -> Result<()> {
    let fleet = start().await?;
    assert_eq!(whole_answers(&fleet, SEED, false).await?, CLIENTS as usize);
    Ok(())
}

#[tokio::test]
async fn clients_that_pause_get_whole_answers_of_an_entry_that_stops() -> Result<()> {
    let fleet = start().await?;
    assert_eq!(
        whole_answers(&fleet, SEED + 1, true).await?,
        CLIENTS as usize
    );
    Ok(())
}
