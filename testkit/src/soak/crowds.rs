use {
    super::{Outcome, RequestKind, RequestRecord},
    crate::{
        cluster::CpuQuota,
        users_platform::{send_crowd, Crowd, CrowdAttempt, CrowdRequest, Fleet, OtherIngress},
    },
    anyhow::Result,
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinHandle,
};

/// Share of a core that the crowded ingress has.
const CORES: f64 = 0.1;
/// Requests per second of a crowd.
const RATE: f64 = 150.0;
/// Part of the first attempts that go to the crowded ingress.
const SHARE: f64 = 0.7;
const PATIENCE: Duration = Duration::from_secs(1);

/// Crowds that open most of their connections to the ingress of a fleet, which is small meanwhile.
pub struct Crowds {
    other: OtherIngress,
    seed: u64,
    started: u32,
    quota: Option<CpuQuota>,
    current: Option<CurrentCrowd>,
    ended: Vec<CurrentCrowd>,
}

struct CurrentCrowd {
    requests: JoinHandle<Vec<CrowdRequest>>,
    /// Whether the ingress was stopped or paused meanwhile.
    is_disturbed: bool,
}

/// Attempts of all crowds.
#[derive(Debug, Default)]
pub struct CrowdRecord {
    pub requests: Vec<RequestRecord>,
    /// Attempts whose connection was closed without a response by an ingress that kept running.
    pub closed_unread: Vec<String>,
}

impl Crowds {
    /// Starts another ingress, to which clients go that are turned away.
    pub async fn new(fleet: &Fleet, seed: u64) -> Result<Self> {
        let other = fleet.start_other_ingress("front-other").await?;
        Ok(Self {
            other,
            seed,
            started: 0,
            quota: None,
            current: None,
            ended: Vec::new(),
        })
    }

    pub fn start(&mut self, ingress: u32, clients: SocketAddr, duration: Duration) {
        self.quota = Some(CpuQuota::start(ingress, CORES));
        let crowd = Crowd {
            seed: self.seed,
            rate: RATE,
            duration,
            share: SHARE,
            retries: 1,
            patience: PATIENCE,
            stream_every: 4,
        };
        let entries = [clients, self.other.clients];
        self.started += 1;
        let name = format!("crowd-{}", self.started);
        let requests = tokio::spawn(async move { send_crowd(&entries, &name, &crowd).await });
        let crowd = CurrentCrowd {
            requests,
            is_disturbed: false,
        };
        self.ended.extend(self.current.replace(crowd));
    }

    pub fn end(&mut self) {
        self.quota = None;
        self.ended.extend(self.current.take());
    }

    /// Must be called before the ingress is stopped or paused.
    pub fn on_disturbed(&mut self) {
        self.quota = None;
        for crowd in self.ended.iter_mut().chain(&mut self.current) {
            crowd.is_disturbed = true;
        }
    }

    /// Waits for all clients, and returns the record of their attempts.
    pub async fn finish(mut self) -> Result<CrowdRecord> {
        self.end();
        let mut record = CrowdRecord::default();
        for crowd in self.ended {
            let requests = crowd.requests.await?;
            let attempts = requests.into_iter().flat_map(|r| r.attempts);
            for (id, _, attempt) in attempts {
                if attempt == CrowdAttempt::Closed && !crowd.is_disturbed {
                    record.closed_unread.push(id.clone());
                }
                record.requests.push(record_of(id));
            }
        }
        Ok(record)
    }
}

/// Returns a record by which only the runs of the request are checked.
fn record_of(id: String) -> RequestRecord {
    RequestRecord {
        id,
        kind: RequestKind::Safe,
        sent_at: None,
        taken_up: None,
        outcome: Outcome::ConnectionLost,
    }
}
