//! An odd entry of another writer in the store ends no process, and hides nothing that others write.

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        users_platform::{prompt, request, ClientRequest, Fleet, FleetSettings},
        waiting::until_async,
    },
    rand::{rngs::StdRng, seq::IndexedRandom, RngExt, SeedableRng},
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

/// Odd entries that stand in the store at once.
const ENTRIES: usize = 30;

/// Part of the line on an entry that can't be used.
const UNREADABLE: &str = "can't be read";

const KEYS: &[&str] = &[
    "servers/odd",
    "servers/odd & other",
    "servers/e-0/",
    "op/version/base.a",
    "op/accounts/odd",
    "op/evacuate/odd",
    "op/odd",
];
const ADDRESSES: &[&str] = &[
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1:0",
    "127.0.0.1",
    ":80",
    "",
    "256.0.0.1:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "[::1%9]:80",
    "name.example:80",
    "127.0.0.1:80/x y",
];
const NUMBERS: &[&str] = &[
    "1e22",
    "1e400",
    "18446744073709551616",
    "9223372036854775808",
    "4294967296",
    "-1",
    "-0.0",
    "1.5",
    "\"x\"",
    "null",
    "{}",
    "[1e400]",
];
const FIELDS: &[&str] = &[
    "Slots",
    "Seq",
    "born",
    "ColdLeftMs",
    "Version",
    "Models",
    "Zone",
    "State",
    "Capacity",
    "Odd",
];

/// Returns a value that is nested this deep, closed or not.
fn nested(rng: &mut StdRng) -> String {
    let depth = [100, 127, 128, 129, 1_000, 100_000].choose(rng);
    let depth = depth.copied().unwrap_or(128);
    let (open, close) = match rng.random_bool(0.5) {
        true => ("[", "]"),
        false => ("{\"a\":", "}"),
    };
    let end = match rng.random_bool(0.7) {
        true => close.repeat(depth),
        false => String::new(),
    };
    open.repeat(depth) + "1" + &end
}

fn odd_value(rng: &mut StdRng) -> Vec<u8> {
    let service = ["plain", "engines", "other"].choose(rng).copied();
    let service = service.unwrap_or("other");
    let address = ADDRESSES.choose(rng).copied().unwrap_or_default();
    let mut fields = vec![
        format!("\"Service\": {}", json!(service)),
        format!("\"Address\": {}", json!(address)),
    ];
    for field in FIELDS {
        let value = match rng.random_range(0..4) {
            0 => NUMBERS.choose(rng).copied().unwrap_or("0").to_string(),
            1 if rng.random_bool(0.3) => nested(rng),
            _ => continue,
        };
        fields.push(format!("\"{field}\": {value}"));
    }
    match rng.random_range(0..8) {
        0 => nested(rng).into_bytes(),
        1 => b"{\"Service\": \"\xff\xfe\"}".to_vec(),
        2 => Vec::new(),
        3 => json!({"Service": service, "Address": address, "Zone": "z".repeat(1 << 20)})
            .to_string()
            .into_bytes(),
        _ => format!("{{{}}}", fields.join(", ")).into_bytes(),
    }
}

fn put_odd_entries(fleet: &Fleet, rng: &mut StdRng) {
    for number in 0..ENTRIES {
        let key = KEYS.choose(rng).copied().unwrap_or("servers/odd");
        fleet
            .store
            .put_bytes(&format!("{key}{number}"), &odd_value(rng));
    }
}

/// Checks that no process has ended or lost a thread, that a later change of the configuration is
/// followed, and that requests are served.
async fn check(fleet: &mut Fleet, prefix: &str, what: &str) -> Result<()> {
    fleet.configure(|c| c["Routes"][0]["PathPrefix"] = prefix.into());
    let (clients, target) = (fleet.clients, prefix.to_string());
    until_async(&format!("{what}: the new route is served"), || async {
        let sent = ClientRequest {
            target: target.clone(),
            id: format!("{what}-safe"),
            ..ClientRequest::default()
        };
        request(clients, &sent).await.is_ok_and(|r| r.status == 200)
    })
    .await;
    until_async(&format!("{what}: a stream is served"), || async {
        let response = request(clients, &prompt("a", &format!("{what}-stream"))).await;
        response.is_ok_and(|r| r.status == 200)
    })
    .await;
    ensure!(!fleet.ingress.has_ended(), "{what}: the entry has ended");
    let mut logs = vec![fleet.log()];
    for number in 0..fleet.sidecars.len() {
        ensure!(
            !fleet.sidecars[number].has_ended(),
            "{what}: a sidecar has ended"
        );
        logs.push(fleet.sidecar_log(number));
    }
    ensure!(
        logs[0].contains(UNREADABLE),
        "{what}: no odd entry was read"
    );
    for fault in ["a step failed", "panicked", "a task failed"] {
        let has_fault = logs.iter().any(|log| log.contains(fault));
        ensure!(!has_fault, "{what}: {fault}");
    }
    Ok(())
}

fn restart(fleet: &mut Fleet) -> Result<()> {
    fleet.ingress.kill()?;
    for number in 0..fleet.sidecars.len() {
        fleet.sidecars[number].kill()?;
        fleet.sidecars[number] = fleet.start_sidecar(number as u8)?;
    }
    fleet.restart_ingress()
}

async fn outlives(seed: u64, relays_from_engines: usize) -> Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::start(FleetSettings {
        engines: 3,
        relays_from_engines,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        engine.state().orders.held.insert("a".to_string(), 1);
    }
    put_odd_entries(&fleet, &mut rng);
    check(&mut fleet, "/live/", &format!("seed {seed}, live")).await?;
    restart(&mut fleet)?;
    check(&mut fleet, "/start/", &format!("seed {seed}, at a start")).await?;
    // while they stand, and others come
    put_odd_entries(&fleet, &mut rng);
    sleep(Duration::from_millis(500)).await;
    check(&mut fleet, "/again/", &format!("seed {seed}, again")).await
}

/// Guards against one odd entry (deep nesting, numbers, ports, in any key) that ends the machines
/// which read the list, or after which they follow nothing (LOST); live and at a start.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_process_and_hide_nothing() -> Result<()> {
    for seed in 0..2 {
        outlives(seed, usize::MAX).await?;
    }
    Ok(())
}

/// Guards against the same where a relay reads the list for the entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_end_no_relay_and_hide_nothing() -> Result<()> {
    for seed in 2..4 {
        outlives(seed, 1).await?;
    }
    Ok(())
}
