//! No request of a client ends a thread, or a process: whatever its head says.

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        users_platform::{prompt, request, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
    rand::{rngs::StdRng, seq::IndexedRandom, RngExt, SeedableRng},
    std::time::Duration,
    tokio::{task::JoinSet, time::timeout},
};

/// Requests of a seed, more than faults end a control thread in ten seconds.
const REQUESTS: usize = 150;
/// Time for which a client waits.
const PATIENCE: Duration = Duration::from_secs(3);

/// Values of any header that should hold numbers or names.
const VALUES: &[&str] = &[
    "0",
    "-1",
    "1",
    "4294967295",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "1e22",
    "NaN",
    "",
    " ",
    "x",
    ",",
    "0,0",
    "4294967295,4294967295",
    "18446744073709551615,18446744073709551615",
    "1,",
    "100,20,30",
    "a:1b:2",
    "a:18446744073709551615",
    "a:4294967295,b:4294967295,c:4294967295",
    ":",
    "/",
    "m/a/b",
    "m/a@1",
    "a@18446744073709551615",
    "../../x",
    "%00",
];

const HEADERS: &[&str] = &[
    "Chalkcart-Token-Usage",
    "Chalkcart-Prefix-Hash",
    "Chalkcart-Model",
    "Last-Event-Id",
    "Chalkcart-Request-Urgency",
    "Chalkcart-Length-Hint",
    "Resumes",
    "Chalkcart-Expect-Instance",
    "Chalkcart-Expect-Version",
    "Chalkcart-Not-Run",
    "Keep-Alive",
    "Expect",
];

fn odd_request(rng: &mut StdRng, id: &str) -> ClientRequest {
    let target = ["/stream/", "/safe/", "/unsafe/"].choose(rng);
    let mut headers = Vec::new();
    for name in HEADERS {
        if rng.random_bool(0.4) {
            let value = VALUES.choose(rng).copied().unwrap_or_default();
            headers.push((name.to_string(), value.to_string()));
        }
    }
    ClientRequest {
        target: target.copied().unwrap_or("/safe/").to_string(),
        id: id.to_string(),
        deadline_ms: match rng.random_range(0..4) {
            0 => 0,
            1 => u64::MAX,
            2 => rng.random_range(1..50),
            _ => 2_000,
        },
        headers,
        ..ClientRequest::default()
    }
}

/// Guards against a request that ends the thread by which all are decided: twenty of them in ten
/// seconds would end the process (FAULT).
#[tokio::test(flavor = "multi_thread")]
async fn no_head_of_a_request_ends_a_thread() -> Result<()> {
    let mut fleet = Fleet::start(FleetSettings {
        engines: 2,
        stream_attempts: 2,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    for seed in 0..3 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut clients = JoinSet::new();
        for number in 0..REQUESTS {
            let sent = odd_request(&mut rng, &format!("odd-{seed}-{number}"));
            let clients_addr = fleet.clients;
            clients.spawn(async move {
                // any response, or none
                let _ = timeout(PATIENCE, request(clients_addr, &sent)).await;
            });
        }
        clients.join_all().await;
    }
    let clients = fleet.clients;
    until_async("a stream is served", || async {
        let response = request(clients, &prompt("a", "sound")).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
    ensure!(!fleet.ingress.has_ended(), "the entry has ended");
    for log in [fleet.log(), fleet.sidecar_log(0), fleet.sidecar_log(1)] {
        for fault in ["a step failed", "panicked", "a task failed"] {
            ensure!(!log.contains(fault), "{fault}");
        }
    }
    Ok(())
}
