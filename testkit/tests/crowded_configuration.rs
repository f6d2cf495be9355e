//! Most new connections go to one entry with a full link, while the store falls silent and the
//! configuration changes.
//!
//! Guards against: 404 on a route that a configuration added longer ago than the time within which
//! a change must be in force everywhere.

use {
    anyhow::Result,
    chalkcart_testkit::{
        cluster::CpuQuota,
        users_platform::{
            request, send_crowd, ClientRequest, Crowd, Fleet, FleetSettings, StoreFault, HOST,
        },
    },
    serde_json::{json, Value},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        ops::Range,
        time::{Duration, Instant},
    },
    tokio::{
        sync::Mutex,
        time::{sleep, timeout},
    },
};

/// Time within which a confirmed configuration must be in force everywhere.
const MAX_CONFIG_DELAY: Duration = Duration::from_millis(2_000);
const ENTRIES: usize = 4;
const ENGINES: u8 = 12;
/// Requests per second that the small entry carries.
const CARRIED: f64 = 20.0;
const DURATION: Duration = Duration::from_secs(17);
/// When the store is silent, from the start of the crowd.
const SILENT: [Range<Duration>; 3] = [
    Duration::from_millis(1_500)..Duration::from_millis(4_200),
    Duration::from_millis(7_000)..Duration::from_millis(11_100),
    Duration::from_millis(13_500)..Duration::from_millis(14_200),
];
const CHANGE_INTERVAL: Duration = Duration::from_millis(350);
const PROBE_INTERVAL: Duration = Duration::from_millis(70);
const PROBE_PATIENCE: Duration = Duration::from_secs(2);
const EVENT_BYTES: usize = 10_000;

/// Two crowds at once would take the processor from each other's entries.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// When each version was confirmed, and when it must be in force.
#[derive(Default)]
struct Changes {
    due: BTreeMap<u64, Duration>,
}

impl Changes {
    fn confirm(&mut self, version: u64, at: Duration) {
        let mut due = at + MAX_CONFIG_DELAY;
        for silent in &SILENT {
            if silent.start < due && silent.end > at {
                due = silent.end + MAX_CONFIG_DELAY;
            }
        }
        self.due.insert(version, due);
    }

    /// Returns the newest version that must be in force.
    fn newest_due(&self, at: Duration) -> Option<u64> {
        let mut due = self.due.iter().rev();
        due.find(|(_, due)| **due <= at).map(|(v, _)| *v)
    }
}

fn prefix(version: u64) -> String {
    format!("/added-{version}/")
}

/// Adds a route for each version up to this one.
fn add_routes(document: &mut Value, version: u64) {
    let Some(routes) = document["Routes"].as_array_mut() else {
        return;
    };
    routes.extend((2..=version).map(|added| {
        json!({
            "Name": format!("added-{added}"), "Host": HOST, "PathPrefix": prefix(added),
            "Kind": "safe", "TimeoutMs": 8_000, "TargetLatencyMs": 1500, "Priority": 1,
            "Service": "plain", "MaxAttempts": 2, "Resumable": false,
        })
    }));
}

async fn start(relays_from_engines: usize) -> Result<(Fleet, Vec<SocketAddr>, Vec<impl Sized>)> {
    let fleet = Fleet::start(FleetSettings {
        engines: ENGINES,
        plain: 6,
        ingress_link_mbps: Some(10.0),
        relays_from_engines,
        ..FleetSettings::default()
    })
    .await?;
    for engine in &fleet.engines {
        let mut state = engine.state();
        state.event_count = 20;
        state.event_data = "x".repeat(EVENT_BYTES);
        state.event_interval = Duration::from_millis(15);
    }
    let clients = fleet.client_forwarder.as_ref().map(|f| f.addr);
    let mut entries = vec![clients.unwrap_or(fleet.clients)];
    let mut others = Vec::new();
    for number in 1..ENTRIES {
        let other = fleet
            .start_other_ingress(&format!("front-large-{number}"))
            .await?;
        entries.push(other.clients);
        others.push(other);
    }
    Ok((fleet, entries, others))
}

fn crowd(rate: f64, duration: Duration, share: f64) -> Crowd {
    Crowd {
        seed: 78,
        rate,
        duration,
        share,
        retries: 1,
        patience: Duration::from_secs(1),
        stream_every: 4,
    }
}

/// Silences the store and changes the configuration as planned, and asks each entry for the newest
/// route that must be in force. Returns the number of answers by entry and status.
async fn change_and_probe(
    fleet: &mut Fleet,
    entries: &[SocketAddr],
) -> BTreeMap<(usize, u16), usize> {
    let begin = Instant::now();
    let mut changes = Changes::default();
    let mut next_change = Duration::ZERO;
    let mut probes = Vec::new();
    let mut number = 0;
    while begin.elapsed() < DURATION {
        let now = begin.elapsed();
        let is_silent = SILENT.iter().any(|silent| silent.contains(&now));
        fleet.store.set_fault(match is_silent {
            true => StoreFault::Unresponsive,
            false => StoreFault::None,
        });
        if !is_silent && now >= next_change {
            let version = fleet.version() + 1;
            fleet.configure(|document| add_routes(document, version));
            changes.confirm(version, begin.elapsed());
            next_change = now + CHANGE_INTERVAL;
        }
        if let Some(version) = changes.newest_due(now) {
            for (entry, addr) in entries.iter().enumerate() {
                number += 1;
                let probe = probe(*addr, version, number);
                probes.push((entry, tokio::spawn(probe)));
            }
        }
        sleep(PROBE_INTERVAL).await;
    }
    let mut counts = BTreeMap::new();
    for (entry, probe) in probes {
        let status = probe.await.ok().flatten().unwrap_or(0);
        *counts.entry((entry, status)).or_default() += 1;
    }
    counts
}

/// Returns the status of an answer; `None` if there is none.
async fn probe(entry: SocketAddr, version: u64, number: usize) -> Option<u16> {
    let probe = ClientRequest {
        id: format!("probe-{number}"),
        target: prefix(version),
        ..ClientRequest::default()
    };
    let answer = timeout(PROBE_PATIENCE, request(entry, &probe)).await;
    Some(answer.ok()?.ok()?.status)
}

async fn expect_no_old_configuration(relays_from_engines: usize) -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    let (mut fleet, entries, _others) = start(relays_from_engines).await?;
    let calm = crowd(CARRIED, Duration::from_secs(3), 1.0);
    send_crowd(&entries, "warm", &calm).await;
    let before = fleet.ingress.cpu_time();
    let requests = send_crowd(&entries, "calm", &calm).await;
    let cost = (fleet.ingress.cpu_time() - before) / requests.len() as u32;
    let quota = CpuQuota::start(fleet.ingress.id(), cost.as_secs_f64() * CARRIED);
    let crowd_entries = entries.clone();
    let crowd = tokio::spawn(async move {
        let crowd = crowd(12.0 * CARRIED, DURATION, 0.7);
        send_crowd(&crowd_entries, "crowd", &crowd).await
    });
    let answers = change_and_probe(&mut fleet, &entries).await;
    drop(quota);
    crowd.await?;
    println!("answers by entry and status, 0 for none: {answers:?}");
    let old = (0..ENTRIES).filter(|entry| answers.contains_key(&(*entry, 404)));
    assert_eq!(
        old.count(),
        0,
        "entries with an old configuration: {answers:?}; log of the small one:\n{}",
        fleet.log()
    );
    for entry in 0..ENTRIES {
        let served = answers.get(&(entry, 200));
        assert!(served.is_some(), "entry {entry} served none: {answers:?}");
    }
    Ok(())
}

#[tokio::test]
async fn a_crowded_entry_with_a_full_link_uses_no_old_configuration() -> Result<()> {
    expect_no_old_configuration(usize::MAX).await
}

#[tokio::test]
async fn a_crowded_entry_with_a_full_link_receives_the_configuration_through_relays() -> Result<()>
{
    expect_no_old_configuration(1).await
}
