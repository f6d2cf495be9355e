//! Guards against requests that are passed on late in the grace of a planned stop, in calm, and cut at
//! its end: they have run, and their callers don't know.

use {
    anyhow::Result,
    chalkcart_testkit::users_platform::{send_on, ClientRequest, Fleet, FleetSettings},
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
    tokio::{
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

async fn send(fleet_addr: std::net::SocketAddr, number: u32, at: Instant) -> End {
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
    let runs = fleet.plain.iter().flat_map(|server| {
        let runs = server.runs();
        runs.iter()
            .map(|run| run.request.clone())
            .collect::<Vec<_>>()
    });
    let ran: BTreeSet<String> = runs.collect();
    let ends = ends.into_iter().enumerate();
    Ok(ends
        .map(|(number, end)| (end, ran.contains(&format!("r{number}"))))
        .collect())
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
