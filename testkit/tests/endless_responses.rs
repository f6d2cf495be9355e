//! Responses of back ends that have no end: heads, bodies, chunk sizes, events, trailers.
//!
//! Guards against: an entry that reads such bytes until its memory or its link is full, and a
//! response without an end that its caller takes for complete.

use {
    anyhow::Result,
    chalkcart_testkit::{
        cluster::memory,
        users_platform::{
            request, send_crowd, BackendFault, ClientRequest, ClientResponse, Crowd, CrowdAttempt,
            CrowdRequest, EndlessPart, Fleet, FleetSettings, HOST, MODEL,
        },
    },
    futures::future::join_all,
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::{
        sync::Mutex,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Back ends of the faulty service, after the sound ones.
const SOUND: usize = 4;
const FAULTY: usize = 40;
const ENDLESS_REQUESTS: usize = 200;
const LINK_MBPS: f64 = 10.0;
/// Memory of the entry, relative to that at the usual load.
const MEMORY_BOUND: f64 = 1.5;
const SERVED_BOUND: f64 = 0.95;
/// More than any response without an end may send in each connection.
const MAX_BYTES_PER_RESPONSE: u64 = 9 * 1024 * 1024;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Longer than the timeout of the routes.
const PATIENCE: Duration = Duration::from_secs(12);
/// Time after which a client of another request leaves.
const OTHERS_PATIENCE: Duration = Duration::from_secs(1);
/// Several fleets at once would take the processor from each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Starts an entry with sound back ends, and a service whose back ends all have a fault.
async fn start(fault: BackendFault, link_mbps: Option<f64>) -> Result<Fleet> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 2,
        plain: (SOUND + FAULTY) as u8,
        ingress_link_mbps: link_mbps,
        are_backends_behind_link: link_mbps.is_some(),
        timeout_ms: 6_000,
        ..FleetSettings::default()
    })
    .await?;
    for number in SOUND..SOUND + FAULTY {
        fleet.publish_backend("faulty", number, "ready");
        let mut state = fleet.plain[number].state();
        state.fault = fault;
        state.fault_requests_left = u32::MAX;
    }
    fleet.configure(|document| {
        let route = |name: &str, kind: &str| {
            json!({
                "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
                "TimeoutMs": 6_000, "TargetLatencyMs": 1_500, "Priority": 1,
                "Service": "faulty", "MaxAttempts": 1, "Resumable": false,
            })
        };
        let routes = [route("faulty", "safe"), route("faulty-stream", "stream")];
        if let Some(all) = document["Routes"].as_array_mut() {
            all.extend(routes);
        }
        let service = json!({"Name": "faulty", "HealthPath": "/health", "MaxConns": 400});
        if let Some(all) = document["Services"].as_array_mut() {
            all.push(service);
        }
    });
    let version = fleet.version();
    let metric = "chalkcart_ingress_configuration";
    while fleet.metric(metric).await != Some(version) {
        sleep(SAMPLE_INTERVAL).await;
    }
    fleet.wait_for_list(fleet.metrics).await;
    Ok(fleet)
}

fn clients(fleet: &Fleet) -> SocketAddr {
    fleet
        .client_forwarder
        .as_ref()
        .map_or(fleet.clients, |f| f.addr)
}

/// Samples the memory of the entry until it is asked for the highest value.
struct MemoryPeak {
    peak: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl MemoryPeak {
    fn start(process: u32) -> Self {
        let peak = Arc::new(AtomicU64::new(0));
        let highest = peak.clone();
        let task = tokio::spawn(async move {
            loop {
                highest.fetch_max(memory(process), Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { peak, task }
    }

    fn end(self) -> u64 {
        self.task.abort();
        self.peak.load(Ordering::Relaxed)
    }
}

async fn send_others(fleet: &Fleet, name: &str, duration: Duration) -> f64 {
    let crowd = Crowd {
        seed: 78,
        rate: 20.0,
        duration,
        share: 1.0,
        retries: 0,
        patience: OTHERS_PATIENCE,
        stream_every: 4,
    };
    let requests = send_crowd(&[clients(fleet)], name, &crowd).await;
    let mut outcomes = BTreeMap::new();
    for (_, _, outcome) in requests.iter().flat_map(|r| &r.attempts) {
        *outcomes.entry(format!("{outcome:?}")).or_insert(0) += 1;
    }
    println!("{name}: {outcomes:?}");
    let is_served = |r: &&CrowdRequest| r.first_read() == Some(CrowdAttempt::Served);
    requests.iter().filter(is_served).count() as f64 / requests.len() as f64
}

/// Sends requests to the faulty service at once; returns how many got a success that looks complete.
async fn send_endless(addr: SocketAddr, route: &str) -> usize {
    let requests = (0..ENDLESS_REQUESTS).map(|number| {
        let req = ClientRequest {
            id: format!("endless-{number}"),
            target: format!("/{route}/"),
            ..ClientRequest::default()
        };
        async move {
            let answer = timeout(PATIENCE, request(addr, &req)).await;
            matches!(answer, Ok(Ok(answer)) if answer.status == 200 && answer.is_complete)
        }
    });
    let complete = join_all(requests).await;
    complete.into_iter().filter(|complete| *complete).count()
}

/// Sends a request until it is read: an entry that is behind its load closes connections unread.
async fn request_until_read(addr: SocketAddr, req: &ClientRequest) -> Result<ClientResponse> {
    timeout(PATIENCE, async {
        loop {
            match request(addr, req).await {
                Ok(answer) => return answer,
                Err(_) => sleep(SAMPLE_INTERVAL).await,
            }
        }
    })
    .await
    .map_err(Into::into)
}

/// Has many responses of which one part has no end arrive at once, beside other requests.
async fn expect_bounded(part: EndlessPart, route: &'static str) -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    let fleet = start(BackendFault::Endless(part), Some(LINK_MBPS)).await?;
    send_others(&fleet, "warm", Duration::from_secs(2)).await;
    let calm = MemoryPeak::start(fleet.ingress.id());
    let before = send_others(&fleet, "calm", Duration::from_secs(3)).await;
    let calm = calm.end();
    let peak = MemoryPeak::start(fleet.ingress.id());
    let endless = tokio::spawn(send_endless(clients(&fleet), route));
    let during = send_others(&fleet, "during", Duration::from_secs(6)).await;
    let complete = endless.await?;
    let peak = peak.end();
    let faulty = &fleet.plain[SOUND..];
    let sent: u64 = faulty.iter().map(|b| b.state().endless_bytes).sum();
    let runs: usize = faulty.iter().map(|b| b.state().runs.len()).sum();
    let memory = peak as f64 / calm as f64;
    println!(
        "{part:?} {route}: memory {calm} to {peak} ({memory:.2}), served {before:.3} before, \
         {during:.3} during, {runs} runs, {sent} bytes sent"
    );
    assert_eq!(complete, 0, "{part:?}: called complete");
    assert!(runs > 0, "{part:?}: no response without an end");
    assert!(memory <= MEMORY_BOUND, "{part:?}: memory {memory:.2}");
    assert!(
        during >= SERVED_BOUND * before,
        "{part:?}: others served {during:.3} of {before:.3}"
    );
    assert!(
        sent / runs as u64 <= MAX_BYTES_PER_RESPONSE,
        "{part:?}: {sent}"
    );
    Ok(())
}

#[tokio::test]
async fn heads_without_end_leave_memory_and_link_to_others() -> Result<()> {
    for part in [
        EndlessPart::HeaderValue,
        EndlessPart::Headers,
        EndlessPart::InformationalHeads,
    ] {
        expect_bounded(part, "faulty").await?;
    }
    Ok(())
}

#[tokio::test]
async fn bodies_without_end_leave_memory_and_link_to_others() -> Result<()> {
    for part in [EndlessPart::Chunks, EndlessPart::Body] {
        expect_bounded(part, "faulty").await?;
    }
    Ok(())
}

#[tokio::test]
async fn chunk_sizes_and_trailers_without_end_leave_memory_and_link_to_others() -> Result<()> {
    for part in [
        EndlessPart::ChunkSize,
        EndlessPart::ChunkSizeSpaces,
        EndlessPart::ChunkExtensions,
        EndlessPart::Trailers,
    ] {
        expect_bounded(part, "faulty").await?;
    }
    Ok(())
}

#[tokio::test]
async fn events_without_end_leave_memory_and_link_to_others() -> Result<()> {
    for part in [EndlessPart::Event, EndlessPart::Events] {
        expect_bounded(part, "faulty-stream").await?;
    }
    Ok(())
}

/// One of the replicas sends responses without end; callers get those of the others.
#[tokio::test]
async fn a_caller_gets_anothers_answer_for_one_without_end() -> Result<()> {
    expect_anothers_answer(|part| !part.is_body()).await
}

#[tokio::test]
async fn a_caller_gets_anothers_answer_for_a_body_without_end() -> Result<()> {
    expect_anothers_answer(EndlessPart::is_body).await
}

async fn expect_anothers_answer(is_tested: impl Fn(EndlessPart) -> bool) -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    for part in EndlessPart::ALL.into_iter().filter(|part| is_tested(*part)) {
        let fleet = Fleet::start(FleetSettings {
            plain: 3,
            ..FleetSettings::default()
        })
        .await?;
        {
            let mut state = fleet.plain[0].state();
            state.fault = BackendFault::Endless(part);
            state.fault_requests_left = u32::MAX;
        }
        let mut served = 0;
        for number in 0..20 {
            let req = ClientRequest {
                id: format!("safe-{number}"),
                target: "/safe/".to_string(),
                ..ClientRequest::default()
            };
            let answer = request_until_read(fleet.clients, &req).await?;
            let is_whole = answer.is_complete && answer.data() == b"the whole answer";
            assert!(
                answer.status != 200 || is_whole || !answer.is_complete,
                "{part:?}: called complete"
            );
            served += usize::from(answer.status == 200 && is_whole);
        }
        let (closed, sent) = {
            let state = fleet.plain[0].state();
            (state.endless_closed, state.endless_bytes)
        };
        println!("{part:?}: {served} of 20 served, {closed} closed, {sent} bytes");
        assert!(closed > 0, "{part:?}: not closed");
        assert_eq!(served, 20, "{part:?}: served; log:\n{}", fleet.log());
    }
    Ok(())
}

#[tokio::test]
async fn large_sound_responses_are_complete() -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    let bytes = 4_000_000;
    let fleet = start(BackendFault::LargeBody(bytes), None).await?;
    for route in ["faulty", "faulty-stream"] {
        for number in 0..4 {
            let req = ClientRequest {
                id: format!("{route}-{number}"),
                target: format!("/{route}/"),
                ..ClientRequest::default()
            };
            let answer = request_until_read(fleet.clients, &req).await?;
            assert_eq!(answer.status, 200, "{route}");
            assert!(answer.is_complete, "{route}");
            assert_eq!(answer.data().len(), bytes, "{route}");
        }
    }
    Ok(())
}

/// The report of an engine has no end; the sidecar stays small and closes the connection.
#[tokio::test]
async fn a_sidecar_bounds_a_report_without_end() -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    for part in EndlessPart::ALL {
        let fleet = Fleet::start(FleetSettings {
            engines: 1,
            ..FleetSettings::default()
        })
        .await?;
        let req = ClientRequest {
            id: "stream".to_string(),
            target: "/stream/".to_string(),
            adapter: Some(format!("{MODEL}/a0")),
            ..ClientRequest::default()
        };
        assert_eq!(request(fleet.clients, &req).await?.status, 200);
        let sidecar = fleet.sidecars[0].id();
        let calm = memory(sidecar);
        fleet.engines[0].state().endless_report = Some(part);
        let peak = MemoryPeak::start(sidecar);
        sleep(Duration::from_secs(2)).await;
        let peak = peak.end();
        let (closed, sent) = {
            let state = fleet.engines[0].state();
            (state.endless_closed, state.endless_bytes)
        };
        println!("{part:?}: memory {calm} to {peak}, {closed} closed, {sent} bytes");
        assert!(closed > 0, "{part:?}: not closed");
        assert!(
            peak as f64 <= MEMORY_BOUND * calm as f64,
            "{part:?}: {calm} to {peak}"
        );
    }
    Ok(())
}
