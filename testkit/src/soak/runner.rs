use {
    super::{
        backend_faults::set_software,
        crashing_clients::{send_crashing_parts, send_crashing_requests, RejectedSound},
        crowds::{CrowdRecord, Crowds},
        engine_lives::EngineLives,
        keep_alive_client::{ClientSettings, KeepAliveClient},
        new_streams::{begin_streams, NEW_STREAM_CLIENTS},
        observations::crashes_until_blocked,
        other_entries::OtherEntries,
        recovery::recover,
        release_schedule::{age_before_faults, release_groups},
        schedule_faults,
        soak_run::{SoakRun, SOFTWARE},
        store_restores::StoreRestores,
        SoakReport, SoakSettings,
    },
    crate::users_platform::{Fleet, FleetSettings, DEFAULT_EVENT_COUNT},
    anyhow::Result,
    std::{
        net::SocketAddr,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Time between SIGTERM and SIGKILL, in seconds.
const GRACE_S: f64 = 2.0;
/// more of them are cut.
const RESUMABLE_STREAM_ATTEMPTS: u32 = 3;
const RESUMABLE_STREAM_EVENTS: u32 = 20;
/// Streams of releases take over 2 s, so that most clients have one when all entries end.
const LONG_EVENT_INTERVAL: Duration = Duration::from_millis(110);
/// Time that requests may take, in ms.
const DEADLINE_MS: u64 = 3_000;
const LONG_DEADLINE_MS: u64 = 6_000;

/// Runs a soak with one seed.
pub async fn run_soak(settings: &SoakSettings) -> Result<SoakReport> {
    let is_resumable = settings.has_resumable_streams || settings.takes_up_streams();
    let (stream_attempts, stream_events) = match is_resumable {
        true => (RESUMABLE_STREAM_ATTEMPTS, RESUMABLE_STREAM_EVENTS),
        false => (1, DEFAULT_EVENT_COUNT),
    };
    let fleet = start_fleet(settings, (stream_attempts, stream_events)).await?;
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
    let client_settings = ClientSettings {
        seed: settings.seed,
        takes_up: settings.takes_up_streams(),
        deadline_ms: match settings.has_releases {
            true => LONG_DEADLINE_MS,
            false => DEADLINE_MS,
        },
        has_own_bodies: settings.has_releases,
    };
    let start_client = |number| {
        let client = KeepAliveClient::new(addrs.clone(), number, client_settings);
        tokio::spawn(client.run(stop.clone()))
    };
    let rejected = RejectedSound::default();
    let crashing_client = settings
        .has_crashing_requests
        .then(|| send_crashing_requests(&fleet, &stop));
    let crashing_parts_client = settings
        .has_crashing_parts
        .then(|| send_crashing_parts(&fleet, (&addrs, settings.seed), &stop, &rejected));
    let faults = schedule_faults(settings);
    let software = fleet.engines.iter();
    let software = software.map(|engine| engine.state().software_version.clone());
    let mut soak = SoakRun {
        lives: EngineLives::new(software.collect()),
        power_cut: None,
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
        has_software_versions: settings.takes_up_streams(),
        has_failing_plain: false,
        crashes_until_blocked: crashes_until_blocked(settings),
        rejected,
    };
    if settings.has_releases {
        soak.prepare_release(release_groups(settings)).await?;
    }
    let mut clients: Vec<_> = (0..settings.clients).map(start_client).collect();
    if settings.has_releases {
        let new = (0..NEW_STREAM_CLIENTS).map(|number| {
            let client = begin_streams(addrs.clone(), number, client_settings, stop.clone());
            tokio::spawn(client)
        });
        clients.extend(new);
    }
    sleep(age_before_faults(settings)).await;
    soak.set_plain_failing(settings.has_failing_plain);
    soak.inject_faults(&faults).await?;
    soak.set_plain_failing(false);
    for client in crashing_client.into_iter().chain(crashing_parts_client) {
        client.abort();
    }
    soak.end_long_streams();
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

/// Starts a fleet whose engines send so many events and may be asked so often.
async fn start_fleet(
    settings: &SoakSettings,
    (stream_attempts, stream_events): (u32, u32),
) -> Result<Fleet> {
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
        let mut state = engine.state();
        state.event_count = stream_events;
        if settings.has_releases {
            state.event_interval = LONG_EVENT_INTERVAL;
        }
        drop(state);
        let software = match (settings.has_releases, settings.has_software_versions) {
            (true, _) => SOFTWARE[0],
            (false, true) => SOFTWARE[number % SOFTWARE.len()],
            (false, false) => continue,
        };
        set_software(&fleet, number as u8, software);
        fleet.publish_engine(number, "ready");
    }
    if settings.takes_up_streams() {
        // the version of an engine never changes within its life
        fleet.wait_for_list(fleet.metrics).await;
    }
    Ok(fleet)
}
