use {
    super::{
        crashing_clients::{send_crashing_parts, send_crashing_requests, RejectedSound},
        crowds::{CrowdRecord, Crowds},
        keep_alive_client::KeepAliveClient,
        observations::{
            applied_configurations, backend_record, crash_registry_losses, crashes_until_blocked,
            part_record,
        },
        other_entries::OtherEntries,
        recovery::recover,
        schedule_faults,
        soak_run::{set_software, SoakRun, SOFTWARE},
        store_restores::StoreRestores,
        violations, Outcome, RequestRecord, ScheduledFault, SoakRecord, SoakSettings, Violation,
    },
    crate::{
        serving::lock,
        users_platform::{Fleet, FleetSettings, DEFAULT_EVENT_COUNT},
    },
    anyhow::Result,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
};

/// Time between SIGTERM and SIGKILL, in seconds.
const GRACE_S: f64 = 2.0;
/// more of them are cut.
const RESUMABLE_STREAM_ATTEMPTS: u32 = 3;
const RESUMABLE_STREAM_EVENTS: u32 = 20;

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
    /// Crashes under the part that crashes engines and requests that arrived with it, in s from the
    /// first arrival on.
    pub part_crashes_s: Vec<f64>,
    pub part_arrivals_s: Vec<f64>,
    pub violations: Vec<Violation>,
    /// Folder of the processes' logs.
    pub log_folder: String,
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
        has_plain_forwarders: true,
        stream_attempts,
        relays_from_engines: settings.relay_threshold(),
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
    let others = OtherEntries::start(&fleet, settings.entry_count() - 1).await?;
    let addrs: Vec<SocketAddr> = [fleet.clients]
        .into_iter()
        .chain(others.clients())
        .collect();
    let stop = Arc::new(AtomicBool::new(false));
    let clients = (0..settings.clients).map(|number| {
        let client = KeepAliveClient::new(
            addrs.clone(),
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
        .then(|| send_crashing_parts(&fleet, (&addrs, settings.seed), &stop, &rejected));
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
        others,
        has_software_versions: settings.has_software_versions,
        has_failing_plain: false,
        crashes_until_blocked: crashes_until_blocked(settings),
        rejected,
    };
    soak.set_plain_failing(settings.has_failing_plain);
    soak.inject_faults(&faults).await?;
    soak.set_plain_failing(false);
    for client in crashing_client.into_iter().chain(crashing_parts_client) {
        client.abort();
    }
    let not_recovered = recover(&mut soak.fleet, &addrs).await;
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

impl SoakRun {
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
        let part = part_record(&self.fleet.engines);
        let (part_crashes_s, part_arrivals_s) = part.seconds();
        let record = SoakRecord {
            backends: engines.chain(plain).collect(),
            requests,
            configurations: applied_configurations(
                [self.fleet.log()].into_iter().chain(self.others.logs()),
            ),
            crashes: self.fleet.engines.iter().map(|e| e.state().crashes).sum(),
            crashes_until_blocked: self.crashes_until_blocked,
            part,
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
            part_crashes_s,
            part_arrivals_s,
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
