//! Guards against requests that are passed on late in the grace of a planned stop, in calm, and cut at
//! its end: they have run, and their callers don't know.

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{request, send_on, ClientRequest, Fleet, FleetSettings},
    quickcheck::{Arbitrary, Gen},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep_until, timeout},
    },
};

const GRACE_S: f64 = 6.0;
/// Requests come at this interval, on connections that are open.
const INTERVAL: Duration = Duration::from_millis(50);
/// The last one is sent this long after the signal; later ones find no connection.
const LAST_SENT: Duration = Duration::from_millis(2_550);
/// When connections are opened before their request.
const OPEN_BEFORE: Duration = Duration::from_millis(900);
const PATIENCE: Duration = Duration::from_secs(10);
const SEED: u64 = 93;
const UPLOADS: usize = 24;
/// What the configuration of the test allows.
const MAX_BODY_BYTES: usize = 4_096;

/// What became of a request that may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    /// A complete answer of a back end.
    Whole,
    /// It was declined, and did not run.
    Declined,
    /// Its connection ended without a complete answer.
    Cut,
    NoConnection,
}

async fn send(fleet_addr: SocketAddr, number: u32, at: Instant) -> End {
    sleep_until((at - OPEN_BEFORE).into()).await;
    let Ok(socket) = TcpStream::connect(fleet_addr).await else {
        return End::NoConnection;
    };
    sleep_until(at.into()).await;
    let sent = ClientRequest {
        target: "/unsafe/".to_string(),
        id: format!("r{number}"),
        deadline_ms: 8_000,
        ..ClientRequest::default()
    };
    let answer = async { send_on(socket, &sent).await?.finish().await };
    match timeout(PATIENCE, answer).await {
        Ok(Ok(response)) if response.is_complete && response.status == 200 => End::Whole,
        Ok(Ok(response)) if response.is_complete && response.status == 503 => End::Declined,
        _ => End::Cut,
    }
}

/// Stops one entry of two while requests that take `run_time` come to it; returns the end of each and
/// whether it ran.
async fn stop_under_load(run_time: Duration) -> Result<Vec<(End, bool)>> {
    let fleet = Fleet::start(FleetSettings {
        engines: 0,
        plain: 2,
        grace_s: GRACE_S,
        ..FleetSettings::default()
    })
    .await?;
    let _other = fleet.start_other_ingress("front-2").await?;
    for server in &fleet.plain {
        let mut state = server.state();
        (state.delay, state.slots) = (run_time, 1_000);
    }
    let stop_at = Instant::now() + Duration::from_secs(1);
    let count = (LAST_SENT.as_millis() / INTERVAL.as_millis()) as u32;
    let sends = (0..=count).map(|number| {
        let at = stop_at + INTERVAL * number;
        tokio::spawn(send(fleet.clients, number, at))
    });
    let sends: Vec<_> = sends.collect();
    sleep_until(stop_at.into()).await;
    fleet.ingress.terminate()?;
    let mut ends = Vec::new();
    for send in sends {
        ends.push(send.await?);
    }
    let ran = requests_that_ran(&fleet);
    let ends = ends.into_iter().enumerate();
    Ok(ends
        .map(|(number, end)| (end, ran.contains(&format!("r{number}"))))
        .collect())
}

fn requests_that_ran(fleet: &Fleet) -> BTreeSet<String> {
    let runs = fleet.plain.iter().flat_map(|server| server.runs());
    runs.map(|run| run.request).collect()
}

/// A request whose head comes before the signal and whose body is whole late in the grace.
#[derive(Debug, Clone)]
struct Upload {
    id: String,
    body_bytes: usize,
    /// When its last byte is sent.
    ends_at: Instant,
}

impl Upload {
    fn head(&self) -> String {
        format!(
            "POST /unsafe/ HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\
             Chalkcart-Request-Id: {}\r\nChalkcart-Deadline-Ms: 20000\r\n\r\n",
            ClientRequest::default().host,
            self.body_bytes,
            self.id
        )
    }

    /// Sends it and returns the status of a complete answer.
    async fn send(&self, entry: SocketAddr) -> Result<Option<u16>> {
        let mut socket = TcpStream::connect(entry).await?;
        socket.write_all(self.head().as_bytes()).await?;
        socket.write_all(&vec![b'x'; self.body_bytes - 1]).await?;
        sleep_until(self.ends_at.into()).await;
        socket.write_all(b"x").await?;
        let mut answer = Vec::new();
        // the connection is closed after it
        let read = socket.read_to_end(&mut answer).await;
        let answer = String::from_utf8_lossy(&answer).to_ascii_lowercase();
        let (head, body) = answer.split_once("\r\n\r\n").unwrap_or_default();
        let length = format!("content-length: {}", body.len());
        let status = head.get(9..12).and_then(|status| status.parse().ok());
        Ok(status.filter(|_| read.is_ok() && head.contains(&length)))
    }
}

/// Guards against a slow upload that is passed on when its body is whole, however late that is, and
/// cut in its run.
#[tokio::test]
async fn an_upload_that_is_whole_late_in_the_grace_is_not_cut() -> Result<()> {
    let mut g = Gen::from_size_and_seed(20, SEED);
    let fleet = Fleet::start(FleetSettings {
        engines: 0,
        plain: 2,
        grace_s: GRACE_S,
        ..FleetSettings::default()
    })
    .await?;
    let run_time = Duration::from_millis(2_000);
    for server in &fleet.plain {
        server.state().delay = run_time;
    }
    let first = ClientRequest {
        target: "/unsafe/".to_string(),
        id: "first".to_string(),
        ..ClientRequest::default()
    };
    assert_eq!(request(fleet.clients, &first).await?.status, 200);
    let stop_at = Instant::now() + Duration::from_secs(1);
    let uploads: Vec<Upload> = (0..UPLOADS)
        .map(|number| Upload {
            id: format!("upload-{number}"),
            body_bytes: 1 + usize::arbitrary(&mut g) % MAX_BODY_BYTES,
            ends_at: stop_at + Duration::from_millis(500 + u64::arbitrary(&mut g) % 5_000),
        })
        .collect();
    let sends: Vec<_> = uploads
        .iter()
        .cloned()
        .map(|upload| {
            let entry = fleet.clients;
            tokio::spawn(async move { upload.send(entry).await })
        })
        .collect();
    sleep_until(stop_at.into()).await;
    fleet.ingress.terminate()?;
    let mut ends = Vec::new();
    for send in sends {
        ends.push(timeout(PATIENCE, send).await??.unwrap_or(None));
    }
    let ran = requests_that_ran(&fleet);
    for (upload, status) in uploads.iter().zip(&ends) {
        let after = upload.ends_at - stop_at;
        // one that is declined, or finds the connection closed, has not run
        let expected = if ran.contains(&upload.id) {
            *status == Some(200)
        } else {
            *status != Some(200)
        };
        assert!(expected, "{after:?}: {status:?}, {ends:?}");
    }
    let whole = ends.iter().filter(|status| **status == Some(200)).count();
    assert!(whole >= 1, "those that are whole early must end: {ends:?}");
    assert!(whole < UPLOADS, "none is whole too late: {ends:?}");
    Ok(())
}

async fn assert_none_cut(run_time: Duration) -> Result<()> {
    let ends = stop_under_load(run_time).await?;
    let cut = ends.iter().filter(|(end, ran)| *end == End::Cut && *ran);
    assert_eq!(cut.count(), 0, "ran and were cut: {ends:?}");
    let lying = ends
        .iter()
        .filter(|(end, ran)| *end == End::Declined && *ran);
    assert_eq!(lying.count(), 0, "declined, though they ran: {ends:?}");
    let whole = ends.iter().filter(|(end, _)| *end == End::Whole);
    assert!(whole.count() >= 16, "those taken early must end: {ends:?}");
    Ok(())
}

/// Guards against requests that wait for a slot and are passed on with half of their time left.
#[tokio::test]
async fn requests_that_cannot_end_in_the_grace_are_declined() -> Result<()> {
    assert_none_cut(Duration::from_millis(3_000)).await
}

/// Guards against the last requests of a queue that moves on until the exit.
#[tokio::test]
async fn the_last_requests_of_a_queue_are_not_cut() -> Result<()> {
    assert_none_cut(Duration::from_millis(1_500)).await
}

/// Guards against back ends of which no run has ended yet, so that nothing is known of their time.
#[tokio::test]
async fn requests_to_back_ends_of_unknown_speed_are_not_cut() -> Result<()> {
    assert_none_cut(Duration::from_millis(5_000)).await
}
