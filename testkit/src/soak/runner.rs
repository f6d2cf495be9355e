use {
    super::{
        crashing_clients::{send_crashing_parts, send_crashing_requests, RejectedSound},
        crowds::{CrowdRecord, Crowds},
        keep_alive_client::KeepAliveClient,
        observations::{
            applied_configurations, backend_record, crash_registry_losses, crashes_until_blocked,
        },
        recovery::recover,
        schedule_faults,
        store_restores::{cut_off_ingress, set_store_away, StoreRestores},
        violations, Fault, Outcome, RequestRecord, ScheduledFault, SoakRecord, SoakSettings,
        Violation,
    },
    crate::{
        cluster::Binaries,
        serving::lock,
        users_platform::{
            BackendFault, BackendStandIn, CutKind, Fleet, FleetSettings, StoreFault, StreamFault,
            DEFAULT_EVENT_COUNT, FIRST_START_TIME_MS, MODEL,
        },
        waiting::until,
    },
    anyhow::{Context, Result},
    chalkcart_coordination::response_end::Framing,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::json,
    std::{
        collections::BTreeMap,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::time::sleep_until,
};

/// Time between SIGTERM and SIGKILL, in seconds, and the time limit for an exit after it.
const GRACE_S: f64 = 2.0;
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Back-off that engines request.
const BACKOFF: Duration = Duration::from_secs(1);
/// Rate limit that back ends announce, in requests per second.
const RATE_LIMIT_PER_S: f64 = 2.0;
/// Maximum number of requests that one fault of a back end affects.
const MAX_FAULTY_REQUESTS: u32 = 40;
/// Attempts and events of streams that may be resumed; more events than by default, so that
/// more of them are cut.
const RESUMABLE_STREAM_ATTEMPTS: u32 = 3;
const RESUMABLE_STREAM_EVENTS: u32 = 20;
/// Software versions of engines.
const SOFTWARE: [&str; 2] = ["v1", "v2"];
/// A stream that ends with its connection inside an event.
const UNFRAMED_END: StreamFault = StreamFault {
    kind: CutKind::Close,
    after: 1,
    extra_bytes: 9,
    framing: Framing::Connection,
};

#[derive(Debug)]
pub struct SoakReport {
    pub seed: u64,
    pub faults: Vec<ScheduledFault>,
    pub requests: usize,
    pub served: usize,
    /// Number of requests by status; 0 for lost connections.
    pub outcomes: BTreeMap<u16, usize>,
    /// Number of times that clients took streams up, and of those that went on.
    pub take_ups: usize,
    pub taken_up: usize,
    pub violations: Vec<Violation>,
    /// Folder of the processes' logs.
    pub log_folder: String,
}

/// Start or end of a fault.
#[derive(Debug, Clone, Copy)]
struct FaultStep {
    at: Duration,
    duration: Duration,
    fault: Fault,
    is_start: bool,
}

/// Runs a soak with one seed.
pub async fn run_soak(settings: &SoakSettings) -> Result<SoakReport> {
    let is_resumable = settings.has_resumable_streams || settings.has_software_versions;
    let (stream_attempts, stream_events) = match is_resumable {
        true => (RESUMABLE_STREAM_ATTEMPTS, RESUMABLE_STREAM_EVENTS),
        false => (1, DEFAULT_EVENT_COUNT),
    };
    let fleet = Fleet::start(FleetSettings {
        engines: settings.engines,
        plain: settings.plain,
        grace_s: GRACE_S,
        has_store_forwarder: true,
        stream_attempts,
        relays_from_engines: settings.relays_from_engines,
        ..FleetSettings::default()
    })
    .await?;
    for (number, engine) in fleet.engines.iter().enumerate() {
        engine.state().event_count = stream_events;
        if settings.has_software_versions {
            set_software(&fleet, number as u8, SOFTWARE[number % SOFTWARE.len()]);
            fleet.publish_engine(number, "ready");
        }
    }
    if settings.has_software_versions {
        // the version of an engine never changes within its life
        fleet.wait_for_list(fleet.metrics).await;
    }
    let crowds = match settings.has_crowds {
        true => Some(Crowds::new(&fleet, settings.seed).await?),
        false => None,
    };
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..settings.clients).map(|number| {
        let client = KeepAliveClient::new(
            fleet.clients,
            settings.seed,
            number,
            settings.has_software_versions,
        );
        tokio::spawn(client.run(stop.clone()))
    });
    let clients: Vec<_> = clients.collect();
    let rejected = RejectedSound::default();
    let crashing_client = settings
        .has_crashing_requests
        .then(|| send_crashing_requests(&fleet, &stop));
    let crashing_parts_client = settings
        .has_crashing_parts
        .then(|| send_crashing_parts(&fleet, &stop, &rejected));
    let faults = schedule_faults(settings);
    let mut soak = SoakRun {
        fleet,
        is_stopped: false,
        exited: Vec::new(),
        incarnations: 0,
        adapter_versions: 0,
        other_build: settings.other_build.clone(),
        starts: 0,
        max_stream_runs: stream_attempts,
        stream_events,
        restores: StoreRestores::default(),
        crowds,
        has_software_versions: settings.has_software_versions,
        crashes_until_blocked: crashes_until_blocked(settings),
        rejected,
    };
    soak.inject_faults(&faults).await?;
    for client in crashing_client.into_iter().chain(crashing_parts_client) {
        client.abort();
    }
    let not_recovered = recover(&mut soak.fleet).await;
    stop.store(true, Ordering::Relaxed);
    let mut requests = Vec::new();
    for client in clients {
        requests.extend(client.await?);
    }
    let crowd = match soak.crowds.take() {
        Some(crowds) => crowds.finish().await?,
        None => CrowdRecord::default(),
    };
    requests.extend(crowd.requests);
    soak.record_exits();
    let report = soak.report(
        settings.seed,
        faults,
        requests,
        not_recovered,
        crowd.closed_unread,
    );
    Ok(report)
}

/// Fleet under faults.
struct SoakRun {
    fleet: Fleet,
    /// Whether the ingress was stopped and has not been started again.
    is_stopped: bool,
    /// Processes that exited without being stopped.
    exited: Vec<String>,
    incarnations: u64,
    adapter_versions: u64,
    /// Programs of an older build; process starts alternate between it and this build.
    other_build: Option<Binaries>,
    starts: u64,
    max_stream_runs: u32,
    stream_events: u32,
    restores: StoreRestores,
    crowds: Option<Crowds>,
    has_software_versions: bool,
    crashes_until_blocked: u32,
    /// Sound requests that were rejected for a part of their prompt.
    rejected: RejectedSound,
}

impl SoakRun {
    /// Alternates between the two builds for each process start.
    fn select_build(&mut self) {
        self.starts += 1;
        let other = self.other_build.clone().filter(|_| self.starts % 2 == 1);
        let (entry, sidecar) = other.map(|b| (b.entry, b.sidecar)).unzip();
        self.fleet.set_programs(entry, sidecar);
    }

    async fn inject_faults(&mut self, faults: &[ScheduledFault]) -> Result<()> {
        let begin = tokio::time::Instant::now();
        let steps = faults.iter().flat_map(|planned| {
            let step = |at, is_start| FaultStep {
                at,
                duration: planned.duration,
                fault: planned.fault,
                is_start,
            };
            [
                step(planned.at, true),
                step(planned.at + planned.duration, false),
            ]
        });
        let mut steps: Vec<FaultStep> = steps.collect();
        steps.sort_by_key(|step| step.at);
        for step in steps {
            sleep_until(begin + step.at).await;
            let done = match step.is_start {
                true => self.start_fault(step.fault, step.duration).await,
                false => self.end_fault(step.fault).await,
            };
            done.with_context(|| format!("{step:?}"))?;
        }
        Ok(())
    }

    async fn start_fault(&mut self, fault: Fault, duration: Duration) -> Result<()> {
        self.record_exits();
        self.restores.copy(&self.fleet);
        self.prepare_crowds_for(fault);
        let fleet = &mut self.fleet;
        match fault {
            Fault::KillIngress if !self.is_stopped => {
                fleet.ingress.kill()?;
                self.is_stopped = true;
            }
            Fault::TerminateIngress if !self.is_stopped => {
                // a paused process can't handle SIGTERM
                fleet.ingress.resume()?;
                fleet.ingress.terminate()?;
                self.is_stopped = true;
            }
            Fault::PauseIngress if !self.is_stopped => fleet.ingress.pause()?,
            Fault::ReloadIngress if !self.is_stopped => {
                kill(Pid::from_raw(fleet.ingress.id() as i32), Signal::SIGHUP)?;
            }
            Fault::KillIngress
            | Fault::TerminateIngress
            | Fault::PauseIngress
            | Fault::ReloadIngress => {}
            Fault::Crowd => {
                if let Some(crowds) = self.crowds.as_mut().filter(|_| !self.is_stopped) {
                    crowds.start(fleet.ingress.id(), fleet.clients, duration);
                }
            }
            Fault::KillSidecar(n) => {
                fleet.sidecars[usize::from(n)].kill()?;
                self.select_build();
                self.fleet.sidecars[usize::from(n)] = self.fleet.start_sidecar(n)?;
            }
            Fault::PauseSidecar(n) => fleet.sidecars[usize::from(n)].pause()?,
            Fault::EngineRestarts(n) => {
                self.incarnations += 1;
                fleet.engines[usize::from(n)].restart(FIRST_START_TIME_MS + self.incarnations);
            }
            Fault::EngineRestartsWithEarlierClock(n) => {
                self.incarnations += 1;
                fleet.engines[usize::from(n)].restart(FIRST_START_TIME_MS - self.incarnations);
            }
            Fault::EngineOverloaded(n) => {
                engine(fleet, n).set_fault(BackendFault::Overloaded, MAX_FAULTY_REQUESTS)
            }
            Fault::EngineLeaves(n) => engine(fleet, n).state().is_leaving = true,
            Fault::EngineRequestsBackoff(n) => {
                engine(fleet, n).state().requested_backoff = Some(BACKOFF);
                engine(fleet, n).set_fault(BackendFault::Overloaded, MAX_FAULTY_REQUESTS);
            }
            Fault::EngineLimited(n) => engine(fleet, n).state().set_limit(Some(RATE_LIMIT_PER_S)),
            Fault::PlainLimited(n) => plain(fleet, n).state().set_limit(Some(RATE_LIMIT_PER_S)),
            Fault::EngineTruncatesStreams(n) => {
                engine(fleet, n).set_fault(BackendFault::TruncateBody, MAX_FAULTY_REQUESTS);
            }
            Fault::EngineFails(n) => {
                engine(fleet, n).set_fault(BackendFault::Status(500), MAX_FAULTY_REQUESTS);
            }
            Fault::EngineEndsUnframed(n) => {
                let fault = BackendFault::Cut(UNFRAMED_END);
                engine(fleet, n).set_fault(fault, MAX_FAULTY_REQUESTS);
            }
            Fault::EngineChangesSoftware(n) => {
                self.incarnations += 1;
                let later = engine(fleet, n).state().software_version != SOFTWARE[1];
                set_software(fleet, n, SOFTWARE[usize::from(later)]);
                engine(fleet, n).restart(FIRST_START_TIME_MS + self.incarnations);
            }
            Fault::PlainUnresponsive(n) => {
                plain(fleet, n).set_fault(BackendFault::Unresponsive, MAX_FAULTY_REQUESTS)
            }
            Fault::PlainClosesWithoutResponse(n) => {
                plain(fleet, n).set_fault(BackendFault::CloseBeforeResponse, MAX_FAULTY_REQUESTS);
            }
            Fault::PlainOverloaded(n) => {
                plain(fleet, n).set_fault(BackendFault::Overloaded, MAX_FAULTY_REQUESTS)
            }
            Fault::PlainDrains(n) => {
                self.restores.on_leaving(n);
                fleet.publish_plain(usize::from(n), "draining");
            }
            Fault::PlainRecordUnreadable(n) => {
                self.restores.on_leaving(n);
                let key = format!("servers/{}", plain(fleet, n).id());
                fleet.store.put_bytes(&key, b"{\"Service\":[]");
            }
            Fault::StoreUnresponsive => fleet.store.set_fault(StoreFault::Unresponsive),
            Fault::StoreReturnsErrors => fleet.store.set_fault(StoreFault::Status(503)),
            Fault::StoreResetsConnections => fleet.store.set_fault(StoreFault::Reset),
            Fault::StoreCompacts => fleet.store.compact_history(),
            Fault::StoreConnectionsUnresponsive => fleet.store.silence_connections(),
            Fault::StoreRestored => set_store_away(fleet, true),
            Fault::StoreRestoredUnseen => {
                cut_off_ingress(fleet, true);
                self.restores.restore(fleet);
            }
            Fault::Configuration => fleet.configure(|_| {}),
            Fault::AdapterVersion(n) => {
                self.adapter_versions += 1;
                let (adapter, version) = (format!("a{n}"), 1 + self.adapter_versions);
                for engine in &fleet.engines {
                    let mut state = engine.state();
                    state.orders.versions.insert(adapter.clone(), version);
                }
                let key = format!("op/version/{MODEL}.{adapter}");
                let document = json!({"Model": MODEL, "Adapter": adapter, "Version": version});
                fleet.store.put(&key, document);
            }
        }
        Ok(())
    }

    /// Ends the quota of the ingress before another fault stops it.
    fn prepare_crowds_for(&mut self, fault: Fault) {
        let stops = matches!(
            fault,
            Fault::KillIngress | Fault::TerminateIngress | Fault::PauseIngress
        );
        if let Some(crowds) = self.crowds.as_mut().filter(|_| stops) {
            crowds.on_disturbed();
        }
    }

    async fn end_fault(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Crowd => {
                if let Some(crowds) = &mut self.crowds {
                    crowds.end();
                }
            }
            Fault::KillIngress | Fault::TerminateIngress => self.start_ingress().await?,
            Fault::PauseIngress if !self.is_stopped => {
                self.fleet.ingress.resume()?;
                self.reset_signals();
            }
            Fault::PauseSidecar(n) => self.fleet.sidecars[usize::from(n)].resume()?,
            Fault::EngineOverloaded(n)
            | Fault::EngineTruncatesStreams(n)
            | Fault::EngineEndsUnframed(n)
            | Fault::EngineFails(n) => {
                engine(&self.fleet, n).set_fault(BackendFault::None, 0);
            }
            // the list learns of the new life late
            Fault::EngineChangesSoftware(n) => self.fleet.publish_engine(usize::from(n), "ready"),
            Fault::EngineRestarts(n) | Fault::EngineRestartsWithEarlierClock(n)
                if self.has_software_versions =>
            {
                self.fleet.publish_engine(usize::from(n), "ready");
            }
            Fault::EngineRequestsBackoff(n) => {
                engine(&self.fleet, n).set_fault(BackendFault::None, 0);
                engine(&self.fleet, n).state().requested_backoff = None;
            }
            Fault::EngineLimited(n) => engine(&self.fleet, n).state().set_limit(None),
            Fault::PlainLimited(n) => plain(&self.fleet, n).state().set_limit(None),
            Fault::EngineLeaves(n) => self.replace_engine(n),
            Fault::PlainUnresponsive(n)
            | Fault::PlainClosesWithoutResponse(n)
            | Fault::PlainOverloaded(n) => {
                plain(&self.fleet, n).set_fault(BackendFault::None, 0);
            }
            Fault::PlainDrains(n) | Fault::PlainRecordUnreadable(n) => {
                match self.restores.on_return(n) {
                    true => self.replace_plain(n),
                    false => self.fleet.publish_plain(usize::from(n), "ready"),
                }
            }
            Fault::StoreRestored => {
                self.restores.restore(&self.fleet);
                set_store_away(&self.fleet, false);
            }
            Fault::StoreRestoredUnseen => cut_off_ingress(&self.fleet, false),
            Fault::StoreUnresponsive
            | Fault::StoreReturnsErrors
            | Fault::StoreResetsConnections => {
                self.fleet.store.set_fault(StoreFault::None);
            }
            _ => {}
        }
        Ok(())
    }

    /// Resets the signals of all back ends: an entry that was down or paused has not seen them.
    fn reset_signals(&self) {
        for backend in self.fleet.engines.iter().chain(&self.fleet.plain) {
            backend.state().reset_signals();
        }
    }

    /// Removes an engine that left and starts another one at its address.
    fn replace_engine(&mut self, number: u8) {
        self.incarnations += 1;
        let key = format!("servers/{}", engine(&self.fleet, number).id());
        self.fleet.store.delete(&key);
        let name = format!("e-{number}-{}", self.incarnations);
        engine(&self.fleet, number).restart_with_id(&name);
        self.fleet.publish_engine(usize::from(number), "ready");
    }

    /// Replaces a plain back end that left by another one at its address.
    fn replace_plain(&mut self, number: u8) {
        self.incarnations += 1;
        let key = format!("servers/{}", plain(&self.fleet, number).id());
        self.fleet.store.delete(&key);
        let name = format!("p-{number}-{}", self.incarnations);
        plain(&self.fleet, number).restart_with_id(&name);
        self.fleet.publish_plain(usize::from(number), "ready");
    }

    async fn start_ingress(&mut self) -> Result<()> {
        if self.is_stopped {
            // a terminated process exits within its grace period
            self.fleet.ingress.wait(STOP_TIMEOUT).await?;
            self.select_build();
            self.fleet.restart_ingress()?;
            let ingress = &self.fleet.ingress;
            until("the ingress handles SIGHUP", || ingress.survives_sighup()).await;
            self.is_stopped = false;
            self.reset_signals();
        }
        Ok(())
    }

    /// Records processes that exited without being stopped.
    fn record_exits(&mut self) {
        if !self.is_stopped && self.fleet.ingress.has_ended() {
            self.exited.push("ingress".to_string());
        }
        for (number, sidecar) in self.fleet.sidecars.iter_mut().enumerate() {
            if sidecar.has_ended() {
                self.exited.push(format!("sidecar {number}"));
            }
        }
    }

    fn report(
        self,
        seed: u64,
        faults: Vec<ScheduledFault>,
        requests: Vec<RequestRecord>,
        not_recovered: Vec<String>,
        closed_unread: Vec<String>,
    ) -> SoakReport {
        let status = |request: &RequestRecord| match &request.outcome {
            Outcome::Responded { status, .. } => *status,
            Outcome::ConnectionLost => 0,
        };
        let mut outcomes = BTreeMap::new();
        for request in &requests {
            *outcomes.entry(status(request)).or_default() += 1;
        }
        let take_ups = requests.iter().filter(|r| r.taken_up.is_some());
        let goes_on = |r: &&RequestRecord| !r.complete_events().is_empty() || status(r) == 200;
        let taken_up = take_ups.clone().filter(goes_on).count();
        let take_ups = take_ups.count();
        let engines = self.fleet.engines.iter().map(|b| backend_record(b, true));
        let plain = self.fleet.plain.iter().map(|b| backend_record(b, false));
        let record = SoakRecord {
            backends: engines.chain(plain).collect(),
            requests,
            configurations: applied_configurations(&self.fleet.log()),
            crashes: self.fleet.engines.iter().map(|e| e.state().crashes).sum(),
            crashes_until_blocked: self.crashes_until_blocked,
            crash_registry_losses: crash_registry_losses(&faults),
            rejected_for_part: lock(&self.rejected).clone(),
            closed_unread,
            exited_processes: self.exited,
            not_recovered,
            max_stream_runs: self.max_stream_runs as usize,
            stream_events: self.stream_events as usize,
            retry_ratio: 0.2,
            retry_extra: 50.0,
            retry_window: Duration::from_secs(10),
        };
        SoakReport {
            seed,
            faults,
            requests: record.requests.len(),
            served: outcomes.get(&200).copied().unwrap_or(0),
            outcomes,
            take_ups,
            taken_up,
            violations: violations(&record),
            log_folder: self
                .fleet
                .settings_file
                .with_file_name("")
                .display()
                .to_string(),
        }
    }
}

/// Sets the software version of an engine, which its events name.
fn set_software(fleet: &Fleet, number: u8, version: &str) {
    let mut state = engine(fleet, number).state();
    state.software_version = version.to_string();
    state.event_data = version.to_string();
}

fn engine(fleet: &Fleet, number: u8) -> &BackendStandIn {
    &fleet.engines[usize::from(number)]
}

fn plain(fleet: &Fleet, number: u8) -> &BackendStandIn {
    &fleet.plain[usize::from(number)]
}
