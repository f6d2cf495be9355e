//! Most new connections go to one entry, which carries only a part of their requests.
//!
//! Guards against: an entry that reads more requests than its processor carries, so that all of
//! them are late or lost while other entries have room.

use {
    anyhow::Result,
    chalkcart_testkit::{
        cluster::CpuQuota,
        users_platform::{
            send_crowd, Crowd, CrowdAttempt, CrowdRequest, Fleet, FleetSettings, OtherIngress,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    tokio::sync::Mutex,
};

/// Requests per second that the small entry carries.
const CARRIED: f64 = 20.0;
/// Requests per second of the crowd, most of them at the small entry.
const CROWD_RATE: f64 = 12.0 * CARRIED;
const CROWD_DURATION: Duration = Duration::from_secs(5);
/// Time in which an entry may find out that it is crowded.
const REACTION: Duration = Duration::from_secs(1);
/// Clients leave after this time, so a request that waits longer is not served.
const PATIENCE: Duration = Duration::from_secs(1);
/// Crowds of several tests at once would take the processor from each other's entries.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A small entry, and large ones beside it.
struct Scenario {
    fleet: Fleet,
    others: Vec<OtherIngress>,
    entries: Vec<SocketAddr>,
}

impl Scenario {
    async fn start(large_entries: usize) -> Result<Self> {
        let fleet = Fleet::start(FleetSettings {
            engines: 4,
            plain: 6,
            ..FleetSettings::default()
        })
        .await?;
        for engine in &fleet.engines {
            let mut state = engine.state();
            state.event_count = 20;
            state.event_interval = Duration::from_millis(15);
        }
        let mut entries = vec![fleet.clients];
        let mut others = Vec::new();
        for number in 0..large_entries {
            let other = fleet
                .start_other_ingress(&format!("front-large-{number}"))
                .await?;
            entries.push(other.clients);
            others.push(other);
        }
        Ok(Self {
            fleet,
            others,
            entries,
        })
    }

    async fn send(&self, name: &str, crowd: Crowd) -> Vec<CrowdRequest> {
        send_crowd(&self.entries, name, &crowd).await
    }

    /// Sends a moderate load to the small entry alone, and returns the share of requests served
    /// and the processor time of the entry for each.
    async fn calm(&self) -> (f64, Duration) {
        // adapters are loaded and connections are open after it
        let warm_up = Crowd {
            rate: CARRIED,
            duration: Duration::from_secs(1),
            share: 1.0,
            ..crowd()
        };
        self.send("warm", warm_up.clone()).await;
        let before = self.fleet.ingress.cpu_time();
        let calm = Crowd {
            duration: Duration::from_secs(3),
            ..warm_up
        };
        let requests = self.send("calm", calm).await;
        let used = self.fleet.ingress.cpu_time() - before;
        let share = served_at_first_read(&requests, Duration::ZERO);
        (share, used / requests.len() as u32)
    }

    /// Returns the number of requests whose first read attempt was served by an entry.
    fn served_by(&self, requests: &[CrowdRequest], entry: usize) -> usize {
        let attempts = requests.iter().flat_map(|r| &r.attempts);
        attempts
            .filter(|(_, at, outcome)| *at == entry && *outcome == CrowdAttempt::Served)
            .count()
    }

    /// Checks that no request ran whose connection was closed without a response.
    fn expect_closed_ones_not_run(&self, requests: &[CrowdRequest]) {
        let backends = self.fleet.engines.iter().chain(&self.fleet.plain);
        let runs: Vec<String> = backends
            .flat_map(|b| {
                let state = b.state();
                state
                    .runs
                    .iter()
                    .map(|r| r.request.clone())
                    .collect::<Vec<_>>()
            })
            .collect();
        let attempts = requests.iter().flat_map(|r| &r.attempts);
        let closed = attempts.filter(|(_, _, outcome)| *outcome == CrowdAttempt::Closed);
        let run: Vec<_> = closed.filter(|(id, ..)| runs.contains(id)).collect();
        assert!(run.is_empty(), "closed, though they ran: {run:?}");
    }
}

fn crowd() -> Crowd {
    Crowd {
        seed: 74,
        rate: CROWD_RATE,
        duration: CROWD_DURATION,
        share: 0.7,
        retries: 1,
        patience: PATIENCE,
        stream_every: 4,
    }
}

/// Returns the share of the requests sent from `from` on that were served at the first attempt
/// that was read; one that no entry read was not served.
fn served_at_first_read(requests: &[CrowdRequest], from: Duration) -> f64 {
    let counted: Vec<_> = requests.iter().filter(|r| r.at >= from).collect();
    let served = counted
        .iter()
        .filter(|r| r.first_read() == Some(CrowdAttempt::Served));
    served.count() as f64 / counted.len() as f64
}

/// Returns the number of attempts by entry and by what became of them.
fn outcomes(requests: &[CrowdRequest]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (_, entry, outcome) in requests.iter().flat_map(|r| &r.attempts) {
        *counts.entry(format!("{entry} {outcome:?}")).or_default() += 1;
    }
    counts
}

#[tokio::test]
async fn a_crowded_small_entry_leaves_what_it_cannot_carry_to_others() -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    let scenario = Scenario::start(2).await?;
    let (before, cost) = scenario.calm().await;
    let quota = CpuQuota::start(scenario.fleet.ingress.id(), cost.as_secs_f64() * CARRIED);
    let requests = scenario.send("crowd", crowd()).await;
    drop(quota);
    let share = served_at_first_read(&requests, REACTION);
    assert!(
        share >= 0.95 * before,
        "served at the first attempt that was read: {share:.3}, before {before:.3}; {:?}; log:\n{}",
        outcomes(&requests),
        scenario.fleet.log()
    );
    scenario.expect_closed_ones_not_run(&requests);
    let carried = scenario.served_by(&requests, 0) as f64 / CROWD_DURATION.as_secs_f64();
    assert!(
        carried >= 0.4 * CARRIED,
        "the small entry served {carried:.1}/s"
    );
    for (number, other) in scenario.others.iter().enumerate() {
        let closed = requests.iter().flat_map(|r| &r.attempts);
        let closed = closed.filter(|(_, at, o)| *at == number + 1 && *o == CrowdAttempt::Closed);
        let closed = closed.count();
        let log = std::fs::read_to_string(&other.log_file)?;
        assert_eq!(closed, 0, "closed by a calm entry; log:\n{log}");
    }
    Ok(())
}

#[tokio::test]
async fn a_crowded_entry_without_others_serves_what_it_carries() -> Result<()> {
    let _one = ONE_AT_A_TIME.lock().await;
    let scenario = Scenario::start(0).await?;
    let (_, cost) = scenario.calm().await;
    let quota = CpuQuota::start(scenario.fleet.ingress.id(), cost.as_secs_f64() * CARRIED);
    let alone = Crowd {
        share: 1.0,
        ..crowd()
    };
    let requests = scenario.send("alone", alone).await;
    drop(quota);
    let served = scenario.served_by(&requests, 0) as f64 / CROWD_DURATION.as_secs_f64();
    assert!(
        served >= 0.5 * CARRIED,
        "{served:.1} of {CARRIED} requests a second served; log:\n{}",
        scenario.fleet.log()
    );
    scenario.expect_closed_ones_not_run(&requests);
    Ok(())
}
