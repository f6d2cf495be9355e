//! No crowd of clients ends or hangs an entry: its memory and its descriptors stay within the
//! machine's, and ordinary requests are answered meanwhile.
//!
//! One crowd at a time; the limits of the machines are lowered, so that small ones do.

mod crowds_fixture;

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::users_platform::{prompt, send_on, ClientRequest},
    crowds_fixture::{
        alone, check, connections, crowd, small_fleet, status, Framing, Shape, CROWD, MAX_BODY,
    },
    rand::{rngs::StdRng, SeedableRng},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Keeps a failing test from hanging; far longer than any limit of these tests.
const END_LIMIT: Duration = Duration::from_secs(60);

async fn outlives(what: &str, shapes: Vec<Shape>) -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let _clients = crowd(fleet.clients, "/unsafe/", shapes).await;
    check(&mut fleet, what).await
}

/// Guards against bodies of legal size that stop one byte short taking all memory, sent at once.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_end_no_entry() -> Result<()> {
    let shape = Shape::short_by_one(Framing::Length(MAX_BODY));
    outlives("bodies that stop short", vec![shape; CROWD]).await
}

/// Guards against the same, sent piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_end_no_entry() -> Result<()> {
    let shape = Shape {
        piece: MAX_BODY / 40,
        pause: Duration::from_millis(20),
        ..Shape::short_by_one(Framing::Length(MAX_BODY))
    };
    outlives("bodies in pieces", vec![shape; CROWD]).await
}

/// Guards against the same in large chunks, without a length.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short_end_no_entry() -> Result<()> {
    let shape = Shape::short_by_one(Framing::Chunks(65_536));
    outlives("large chunks", vec![shape; CROWD]).await
}

/// Guards against each byte in a chunk of its own holding a whole read buffer.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_end_no_entry() -> Result<()> {
    outlives("chunks of one byte", vec![Shape::slow_chunks(); CROWD]).await
}

/// Guards against whole bodies that wait for slow back ends taking all memory.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_wait_end_no_entry() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    fleet.plain[0].state().delay = Duration::from_secs(2);
    let shape = Shape {
        sent: MAX_BODY,
        is_whole: true,
        ..Shape::short_by_one(Framing::Length(MAX_BODY))
    };
    let _clients = crowd(fleet.clients, "/unsafe/", vec![shape; CROWD]).await;
    check(&mut fleet, "whole bodies that wait").await
}

/// Guards against bodies far beyond the limit, announced or just sent.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_limit_end_no_entry() -> Result<()> {
    let beyond = |framing| Shape {
        sent: 10 * MAX_BODY,
        ..Shape::short_by_one(framing)
    };
    let mut shapes = vec![beyond(Framing::Length(20 * MAX_BODY)); CROWD / 2];
    shapes.extend(vec![beyond(Framing::Chunks(65_536)); CROWD / 2]);
    outlives("bodies beyond the limit", shapes).await
}

/// Guards against large responses that nobody reads taking all memory.
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_nobody_reads_end_no_entry() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.event_count = 400;
        state.event_data = "x".repeat(8_000);
    }
    let mut clients = JoinSet::new();
    for number in 0..CROWD {
        let sent = ClientRequest {
            deadline_ms: 3_000,
            ..prompt("a", &format!("unread-{number}"))
        };
        let addr = fleet.clients;
        clients.spawn(async move {
            let socket = TcpSocket::new_v4()?;
            socket.set_recv_buffer_size(4_096)?;
            send_on(socket.connect(addr).await?, &sent).await
        });
    }
    let _unread = clients.join_all().await;
    check(&mut fleet, "responses that nobody reads").await
}

/// Guards against connections with half a head taking all places.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_leave_places_to_others() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let half = b"POST /unsafe/ HTTP/1.1\r\nHost: host.example\r\nx: y";
    let _clients = connections(fleet.clients, 2 * CROWD, half).await;
    check(&mut fleet, "half heads").await
}

/// Guards against connections on which nothing is sent taking all places.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_leave_places_to_others() -> Result<()> {
    let _alone = alone().await;
    let mut fleet = small_fleet().await?;
    let _clients = connections(fleet.clients, 2 * CROWD, b"").await;
    check(&mut fleet, "silent connections").await
}

/// Guards against heads whose body never begins taking all places.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_their_body_leave_places_to_others() -> Result<()> {
    let shape = Shape {
        sent: 0,
        headers: "Expect: 100-continue\r\n",
        ..Shape::short_by_one(Framing::Length(MAX_BODY))
    };
    outlives("heads without their body", vec![shape; 2 * CROWD]).await
}

/// Guards against any crowd of bodies (seeded): lengths, chunks, pieces, pauses and stops of any
/// size, some whole, some beyond the limit.
#[tokio::test(flavor = "multi_thread")]
async fn no_crowd_of_bodies_ends_an_entry() -> Result<()> {
    for seed in 0..2 {
        let mut rng = StdRng::seed_from_u64(seed);
        let shapes = (0..CROWD).map(|_| Shape::draw(&mut rng)).collect();
        outlives(&format!("seed {seed}"), shapes).await?;
    }
    Ok(())
}

/// Guards against half a head keeping its connection for good, and against an idle connection, or
/// one whose head comes in two parts, being taken for one.
#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_never_ends_loses_its_connection() -> Result<()> {
    let _alone = alone().await;
    let fleet = small_fleet().await?;
    let whole = b"GET /safe/ HTTP/1.1\r\nHost: host.example\r\nChalkcart-Request-Id: kept\r\n\r\n";
    let (first, rest) = whole.split_at(30);
    let mut kept = TcpStream::connect(fleet.clients).await?;
    kept.write_all(first).await?;
    sleep(Duration::from_secs(1)).await;
    kept.write_all(rest).await?;
    ensure!(status(&mut kept).await == Some(200), "a head in two parts");
    let mut half = TcpStream::connect(fleet.clients).await?;
    half.write_all(first).await?;
    let mut received = Vec::new();
    let end = timeout(END_LIMIT, half.read_to_end(&mut received)).await;
    ensure!(end.is_ok(), "half a head keeps its connection");
    let other = String::from_utf8_lossy(whole).replace("kept", "later");
    kept.write_all(other.as_bytes()).await?;
    let mut answer = vec![0; 4096];
    let count = timeout(END_LIMIT, kept.read(&mut answer)).await??;
    ensure!(count > 0, "an idle connection was closed");
    Ok(())
}

/// Guards against a body that stops short being waited for without end: its request has not run,
/// and is told so by its deadline. A slow one that is whole in time is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_stops_short_is_refused_at_its_deadline() -> Result<()> {
    let _alone = alone().await;
    let fleet = small_fleet().await?;
    let head = |id: &str, deadline_ms: u64| {
        format!(
            "POST /unsafe/ HTTP/1.1\r\nHost: host.example\r\nChalkcart-Request-Id: {id}\r\n\
             Chalkcart-Deadline-Ms: {deadline_ms}\r\nContent-Length: 4\r\n\r\nabc"
        )
    };
    let mut slow = TcpStream::connect(fleet.clients).await?;
    slow.write_all(head("slow", 7_000).as_bytes()).await?;
    let mut short = TcpStream::connect(fleet.clients).await?;
    short.write_all(head("short", 1_500).as_bytes()).await?;
    let mut answer = Vec::new();
    let end = timeout(END_LIMIT, short.read_to_end(&mut answer)).await;
    ensure!(end.is_ok(), "the body is waited for without end");
    let answer = String::from_utf8_lossy(&answer).to_lowercase();
    ensure!(answer.starts_with("http/1.1 408 "), "{answer}");
    ensure!(answer.contains("chalkcart-request-id: short"), "{answer}");
    ensure!(answer.contains("connection: close"), "{answer}");
    slow.write_all(b"d").await?;
    ensure!(status(&mut slow).await == Some(200), "a slow body");
    let runs = fleet.plain[0].state().runs.clone();
    ensure!(!runs.iter().any(|run| run.request == "short"), "it has run");
    Ok(())
}
