//! Streams that lose all entries at one moment, and are taken up by their clients at entries that
//! have started again.

use {
    crate::versions_fixture::{events, take_up, versions},
    anyhow::{ensure, Result},
    chalkcart_protocol::peer::{path, StreamOriginsRequest, StreamOriginsResponse},
    chalkcart_testkit::{
        users_platform::{
            open_stream, prompt, request, BackendStandIn, ClientRequest, Fleet, FleetSettings,
            OtherIngress, StoreCopy,
        },
        waiting::until_async,
    },
    chalkcart_transport::client::PeerClient,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        ops::Range,
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

pub const STREAMS: usize = 24;
/// Long enough for streams to run until their entries are killed.
const EVENTS: u32 = 400;
const SLOW_INTERVAL: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 60_000;
/// Of a stream that goes on.
const FAST_INTERVAL: Duration = Duration::from_millis(1);
/// How long a client tries to take its stream up, and the time between two tries.
const MAX_TRIES: u32 = 16;
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time for which origins are awaited at sidecars that have started again.
const MAX_TOLD_WAIT: Duration = Duration::from_secs(6);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// What became of the streams, by the version that began them.
#[derive(Debug, Default)]
pub struct Outcome {
    pub began: BTreeMap<String, usize>,
    /// Went on to the end at their version.
    pub went_on: BTreeMap<String, usize>,
    /// Joined from two versions, or with events that are missing or doubled.
    pub joined: usize,
    /// Taken up and broken off again.
    pub broken: usize,
    pub refused: BTreeMap<String, usize>,
}

impl Outcome {
    pub fn went_on_at(&self, version: &str) -> usize {
        self.went_on.get(version).copied().unwrap_or_default()
    }
    pub fn began_at(&self, version: &str) -> usize {
        self.began.get(version).copied().unwrap_or_default()
    }
    /// Returns whether at least nine of ten streams of a version went on, of more than a few.
    pub fn has_gone_on(&self, version: &str) -> bool {
        let began = self.began_at(version);
        began >= STREAMS / 8 && 10 * self.went_on_at(version) >= 9 * began
    }
}

/// What a client has of a stream.
struct Received {
    id: String,
    events: Vec<(u32, String)>,
}

/// Two entries, and streams that run.
pub struct RejoinedFleet {
    pub fleet: Fleet,
    other: OtherIngress,
    running: Vec<JoinHandle<Result<Received>>>,
}

impl RejoinedFleet {
    /// Starts engines of these versions; those of the later ones are not listed until they are
    /// published.
    pub async fn start(listed: &[&str], later: &[&str]) -> Result<Self> {
        let fleet = Fleet::start(FleetSettings {
            stream_attempts: 3,
            timeout_ms: 60_000,
            ..FleetSettings::default()
        });
        let mut fleet = fleet.await?;
        for (number, version) in listed.iter().chain(later).enumerate() {
            fleet.add_engine(number as u8).await?;
            set_up(&fleet.engines[number], version);
        }
        (0..listed.len()).for_each(|engine| fleet.publish_engine(engine, "ready"));
        fleet.wait_for_sidecars().await;
        let other = fleet.start_other_ingress("front-2").await?;
        let fleet = Self {
            fleet,
            other,
            running: Vec::new(),
        };
        fleet.wait_for_lists().await;
        Ok(fleet)
    }

    /// Lists engines, and waits until all entries use the list.
    pub async fn publish(&self, engines: Range<usize>, state: &str) {
        engines.for_each(|engine| self.fleet.publish_engine(engine, state));
        self.wait_for_lists().await;
    }

    /// Removes leaving engines from the list and ends their sidecars.
    pub async fn remove(&mut self, engines: Range<usize>) -> Result<()> {
        for engine in engines {
            let id = self.fleet.engines[engine].id();
            self.fleet.store.delete(&format!("servers/{id}"));
            self.fleet.sidecars[engine].kill()?;
        }
        self.wait_for_lists().await;
        Ok(())
    }

    async fn wait_for_lists(&self) {
        for metrics in [self.fleet.metrics, self.other.metrics] {
            self.fleet.wait_for_list(metrics).await;
        }
    }

    /// Begins streams at both entries; each has had two events.
    pub async fn begin_streams(&mut self) -> Result<()> {
        let entries = self.clients();
        let mut begun = Vec::new();
        for number in 0..STREAMS {
            let id = format!("s{number}");
            let sent = ClientRequest {
                deadline_ms: DEADLINE_MS,
                ..prompt("a", &id)
            };
            let mut stream = open_stream(entries[number % entries.len()], &sent).await?;
            begun.push(tokio::spawn(async move {
                ensure!(stream.read_until("id: 1\n").await?, "{id} ended early");
                Ok((id, stream))
            }));
        }
        for stream in begun {
            let (id, stream) = stream.await??;
            self.running.push(tokio::spawn(async move {
                let events = events(&stream.finish().await?);
                Ok(Received { id, events })
            }));
        }
        Ok(())
    }

    /// Waits until the sidecars of these engines keep the origins of all streams. Goes on after some
    /// time, as nobody may have been told.
    pub async fn wait_until_told(&self, engines: Range<usize>) {
        let start = Instant::now();
        let peers = PeerClient::new();
        while start.elapsed() < MAX_TOLD_WAIT {
            if self.told(&peers, engines.clone()).await == STREAMS {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how many streams have an origin that one of the sidecars keeps.
    async fn told(&self, peers: &PeerClient, engines: Range<usize>) -> usize {
        let asked = (0..STREAMS).map(|number| format!("s{number}"));
        let question = StreamOriginsRequest {
            asked: asked.collect(),
            ..StreamOriginsRequest::default()
        };
        let mut told = BTreeSet::new();
        for number in engines {
            let sidecar = self.fleet.sidecar_addr(number);
            let answer: Result<StreamOriginsResponse, _> = peers
                .call(sidecar, path::STREAM_ORIGINS, &question, PEER_TIMEOUT)
                .await;
            let known = answer.map(|answer| answer.known).unwrap_or_default();
            told.extend(known.into_iter().map(|origin| origin.request));
        }
        told.len()
    }

    pub fn kill_entries(&mut self) -> Result<()> {
        self.fleet.ingress.kill()?;
        self.other.process.kill()
    }

    pub fn kill_sidecars(&mut self) -> Result<()> {
        let mut sidecars = self.fleet.sidecars.iter_mut();
        sidecars.try_for_each(|sidecar| sidecar.kill())
    }

    /// Starts all sidecars again, and waits until they listen.
    pub async fn start_sidecars(&mut self) -> Result<()> {
        for number in 0..self.fleet.sidecars.len() {
            self.fleet.sidecars[number] = self.fleet.start_sidecar(number as u8)?;
        }
        self.fleet.wait_for_sidecars().await;
        Ok(())
    }

    /// Starts the entries again, and waits until they are ready.
    pub async fn start_entries(&mut self) -> Result<()> {
        self.fleet.restart_ingress()?;
        self.fleet.restart_other(&mut self.other)?;
        self.fleet.wait_ready().await;
        let other = &self.other;
        let is_ready = || async { other.is_ready().await };
        until_async("the other entry is ready", is_ready).await;
        Ok(())
    }

    /// Makes the store return an earlier state while the entries start and clients try.
    pub fn set_behind(&self, copy: Option<StoreCopy>) {
        self.fleet.store.set_behind(copy);
    }

    /// Has the clients take their streams up, each at the other entry.
    pub async fn take_up(&mut self) -> Result<Outcome> {
        for engine in &self.fleet.engines {
            engine.state().event_interval = FAST_INTERVAL;
        }
        let entries = self.clients();
        let mut outcome = Outcome::default();
        let mut taken = Vec::new();
        for (number, stream) in self.running.drain(..).enumerate() {
            let received = stream.await??;
            let (last, version) = received.events.last().cloned().expect("an event");
            ensure!(last < EVENTS - 1, "{} ended too early", received.id);
            *outcome.began.entry(version).or_default() += 1;
            let addr = entries[(number + 1) % entries.len()];
            taken.push(tokio::spawn(go_on(addr, received)));
        }
        for stream in taken {
            let (received, number) = stream.await??;
            outcome.add(received, number);
        }
        println!("{outcome:?}");
        Ok(outcome)
    }

    fn clients(&self) -> [SocketAddr; 2] {
        [self.fleet.clients, self.other.clients]
    }
}

impl Outcome {
    /// Adds a stream with the number of its events before it was taken up.
    fn add(&mut self, stream: Received, before: usize) {
        let version = stream.events[0].1.clone();
        if stream.events.len() == before {
            *self.refused.entry(version).or_default() += 1;
            return;
        }
        let ids = stream.events.iter().map(|(id, _)| *id);
        let count = stream.events.len() as u32;
        let versions = versions(&stream.events);
        if versions.len() > 1 || !ids.eq(0..count) {
            self.joined += 1;
        } else if count < EVENTS {
            self.broken += 1;
        } else {
            *self.went_on.entry(version).or_default() += 1;
        }
    }
}

/// Takes a stream up until it is served; returns also the number of its events before.
async fn go_on(addr: SocketAddr, mut stream: Received) -> Result<(Received, usize)> {
    let before = stream.events.len();
    let last = stream.events[before - 1].0;
    for number in 0..MAX_TRIES {
        let id = format!("{}-{number}", stream.id);
        let sent = take_up(&id, Some(&stream.id), last);
        // an entry that has just started may refuse a connection
        let response = request(addr, &sent).await;
        if let Ok(response) = response.map(|r| (r.status, events(&r))) {
            if response.0 == 200 {
                stream.events.extend(response.1);
                return Ok((stream, before));
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
    Ok((stream, before))
}

fn set_up(engine: &BackendStandIn, version: &str) {
    let mut state = engine.state();
    state.software_version = version.to_string();
    state.event_data = version.to_string();
    state.event_count = EVENTS;
    state.event_interval = SLOW_INTERVAL;
    state.orders.held.insert("a".to_string(), 1);
}
