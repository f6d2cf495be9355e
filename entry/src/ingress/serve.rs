use {
    super::{
        admission_exchange::AdmissionExchange,
        control,
        crash_exchange::exchange_crashes,
        doors,
        earlier_versions::read_earlier_versions,
        fleet_links::{FleetLinks, LinkSettings},
        operator_pages,
        records::EntryRecords,
        relay_discovery::RelayDiscovery,
        service::RoutedIngress,
        shared::Shared,
        shared_crash_registry::SharedCrashRegistry,
        store_relays::StoreRelays,
        usage_reports::report_usage,
        zone_source::ZoneSource,
    },
    crate::conf::IngressSettings,
    anyhow::{Context, Result},
    chalkcart_coordination::{
        dispatch::{DispatchEvent, DispatchSettings, Dispatcher, RetryBudgetSettings},
        drain::{IngressDrain, LastStart},
        overload::Door,
        relay::RelayPacing,
        watch::WatchPacing,
    },
    chalkcart_node::{
        runtime::{run_on_one_thread, ParkHooks},
        settings::SettingsReloader,
        signals::{stop_cause, unless_stopped},
    },
    chalkcart_protocol::wire::WireVersion,
    chalkcart_state::{ingress::IngressLimits, published::Topic},
    chalkcart_transport::{
        clock,
        ingress::{self, Dialect, Phase},
        metadata::{MetadataSource, StoreWatcher},
        server::{self, HeldDoor, Stop},
        supervision::supervised,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Handle,
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time between two looks for heads that take too long.
const HEADS_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which a head may arrive later than its client sent it: packets are lost, links are cut.
const HEAD_SLACK: Duration = Duration::from_secs(5);

/// Runs the ingress until it receives a stop signal.
pub fn serve(
    settings: IngressSettings,
    reloader: SettingsReloader,
    store: Arc<dyn MetadataSource>,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    let (name, log) = (settings.name.clone(), settings.log.clone());
    let hooks = ParkHooks {
        on_park: clock::on_park,
        on_unpark: clock::on_unpark,
    };
    run_on_one_thread(&name, &log, hooks, run(settings, reloader, store, dialect))
}

async fn run(
    settings: IngressSettings,
    reloader: SettingsReloader,
    store: Arc<dyn MetadataSource>,
    dialect: Arc<dyn Dialect>,
) -> Result<()> {
    log::info!(
        version = env!("CARGO_PKG_VERSION"),
        wire_version = WireVersion::CURRENT.0;
        "build: chalkcart"
    );
    if !settings.defaulted.is_empty() {
        let defaulted = settings.defaulted.join(", ");
        log::warn!("settings: using defaults for: {defaulted}");
    }
    let Some((clients, readiness)) = unless_stopped(listen(&settings)).await? else {
        return Ok(());
    };
    let dispatcher = Dispatcher::new(dispatch_settings(&settings));
    let relays = Arc::new(StoreRelays::new(
        &settings.name,
        &settings.zone,
        settings.sidecar_port,
    ));
    let (runtime, link_settings) = (Handle::current(), link_settings(&settings, &relays));
    let crashes = Arc::new(SharedCrashRegistry::default());
    let control = control::start(dispatcher, crashes.clone(), |control| {
        let sidecar_port = link_settings.sidecar_port;
        let admission = AdmissionExchange::new(runtime.clone(), control.clone(), sidecar_port);
        (FleetLinks::new(link_settings, runtime, control), admission)
    });
    let shared = Arc::new(Shared::new(settings, control, crashes, dialect));
    watch_store(&shared, store.clone(), relays);
    exchange_crashes(&shared);
    spawn_exchanges(&shared, &store);
    let (_stop, stopped) = watch::channel(false);
    let router = operator_pages::new_readiness_router(shared.clone());
    tokio::spawn(server::serve(
        readiness,
        router,
        held_door(&shared, doors::READINESS),
        stopped.clone(),
        Duration::ZERO,
    ));
    tokio::spawn(serve_metrics(shared.clone(), stopped));
    tokio::spawn(apply_settings_changes(reloader, shared.clone(), store));
    let heads = shared.clone();
    tokio::spawn(supervised("heads", move || end_late_heads(heads.clone())));
    let load = shared.load.clone();
    tokio::spawn(supervised("load", move || load.clone().run()));
    let service = Arc::new(RoutedIngress::new(shared.clone()));
    let server = tokio::spawn(ingress::serve(
        clients,
        service,
        shared.load.clone(),
        shared.phase.subscribe(),
    ));
    log::info!("settings: mechanisms {}", shared.settings.mechanisms);
    log::info!(
        first_start = shared.settings.first_start;
        "ingress: serves on {}", shared.settings.clients
    );
    let stopped_by = stop_cause(shared.control.end().wait()).await?;
    log::info!("ingress: drains after {stopped_by}");
    drain(&shared, server).await?;
    stopped_by.result()
}

/// Listens for clients and for the platform's readiness check.
async fn listen(settings: &IngressSettings) -> Result<(TcpListener, TcpListener)> {
    let clients = server::bind(settings.clients).await?;
    let readiness = server::bind(settings.readiness).await?;
    Ok((clients, readiness))
}

fn held_door(shared: &Shared, door: Door) -> HeldDoor {
    HeldDoor {
        holdings: shared.clients.clone(),
        door,
    }
}

/// Serves the pages for operators' tools, without which clients are served as well.
async fn serve_metrics(shared: Arc<Shared>, stopped: Stop) {
    let listener = match server::bind(shared.settings.metrics).await {
        Ok(listener) => listener,
        Err(e) => return log::error!("metrics: not served: {e}"),
    };
    let door = held_door(&shared, doors::METRICS);
    let router = operator_pages::new_metrics_router(shared);
    if let Err(e) = server::serve(listener, router, door, stopped, Duration::ZERO).await {
        log::debug!("metrics: stopped: {e}");
    }
}

/// Closes connections whose heads take longer than the configuration allows.
async fn end_late_heads(shared: Arc<Shared>) {
    loop {
        sleep(HEADS_INTERVAL).await;
        let table = shared.table.load();
        let limits = table.as_ref().map(|table| table.limits.header_timeout);
        let limit = limits.unwrap_or_else(|| IngressLimits::default().header_timeout);
        shared.clients.expire_heads(limit + HEAD_SLACK);
    }
}

/// Starts the tasks that learn what the rest of the fleet knows, and tell it.
fn spawn_exchanges(shared: &Arc<Shared>, store: &Arc<dyn MetadataSource>) {
    let (reader, store) = (shared.clone(), store.clone());
    let read = move || read_earlier_versions(reader.clone(), store.clone());
    tokio::spawn(supervised("earlier versions", read));
    let teller = shared.clone();
    let tell = move || teller.clone().tell_origins();
    tokio::spawn(supervised("stream origins", tell));
    if shared.settings.mechanisms.shared_limits {
        let (reporter, sidecar_port) = (shared.clone(), shared.settings.sidecar_port);
        let report = move || report_usage(reporter.clone(), sidecar_port);
        tokio::spawn(supervised("usage reports", report));
    }
}

/// Applies new versions of the settings file. Listening addresses change only with a restart.
async fn apply_settings_changes(
    reloader: SettingsReloader,
    shared: Arc<Shared>,
    store: Arc<dyn MetadataSource>,
) {
    let apply = |settings: IngressSettings| {
        store.set_addr(settings.store);
        let event = DispatchEvent::SettingsUpdated(dispatch_settings(&settings));
        shared.control.send_event(event);
    };
    if let Err(e) = reloader.run(apply).await {
        log::error!("settings: cannot watch for changes: {e:#}");
    }
}

/// Reports the process as not ready, waits for the load balancer to notice, then closes
/// connections and waits for running requests.
async fn drain(shared: &Shared, server: tokio::task::JoinHandle<()>) -> Result<()> {
    let times = IngressDrain {
        grace: shared.settings.grace(),
    };
    let now = clock::now();
    shared.last_start.send_replace(Some(LastStart {
        accepts_until: now + times.accepts_for(),
        exits_at: now + times.exit_after(),
    }));
    shared.phase.send_replace(Phase::Draining);
    sleep(times.close_after()).await;
    shared.phase.send_replace(Phase::Closing);
    let left = times.exit_after().saturating_sub(times.close_after());
    match timeout(left, server).await {
        Ok(joined) => joined.context("the server task failed")?,
        Err(_) => log::warn!("ingress: requests still run after {left:?}"),
    }
    log::info!("ingress: stopped");
    Ok(())
}

/// Starts watching both topics of the store, through a relay of the zone if there is one.
fn watch_store(shared: &Arc<Shared>, store: Arc<dyn MetadataSource>, relays: Arc<StoreRelays>) {
    let settings = &shared.settings;
    let relays = match settings.mechanisms.store_by_relay {
        true => relays,
        // one without candidates
        false => Arc::new(StoreRelays::new(
            &settings.name,
            &settings.zone,
            settings.sidecar_port,
        )),
    };
    let discovery = RelayDiscovery::new(shared.clone(), relays.clone());
    let pacing = RelayPacing {
        propagation_limit: Duration::from_millis(settings.drain_ms),
    };
    let source = Arc::new(ZoneSource::new(store, relays, discovery, pacing));
    let records = Arc::new(EntryRecords::new(shared.clone(), source.clone()));
    let change_delays = [
        (Topic::Configuration, settings.config_apply_ms),
        (Topic::Backends, settings.drain_ms),
    ];
    for (topic, delay_ms) in change_delays {
        let pacing = WatchPacing::for_change_delay(Duration::from_millis(delay_ms));
        let (source, records) = (source.clone(), records.clone());
        let watch =
            move || StoreWatcher::new(source.clone(), records.clone(), topic, pacing.clone()).run();
        tokio::spawn(supervised("store watch", watch));
    }
}

fn link_settings(settings: &IngressSettings, relays: &Arc<StoreRelays>) -> LinkSettings {
    LinkSettings {
        entry: settings.name.clone(),
        zone: settings.zone.clone(),
        sidecar_port: settings.sidecar_port,
        relays_from_engines: match settings.mechanisms.relays {
            true => Some(settings.relays_from_engines),
            false => None,
        },
        store_relays: relays.clone(),
    }
}

fn dispatch_settings(settings: &IngressSettings) -> DispatchSettings {
    DispatchSettings {
        entry: settings.name.clone(),
        zone: settings.zone.clone(),
        regions: settings.regions.clone(),
        budget: RetryBudgetSettings {
            ratio: settings.retry_ratio,
            extra: settings.retry_extra,
            window: Duration::from_secs_f64(settings.retry_window_s),
        },
        restarted_at: (!settings.first_start).then(clock::now),
        version_grace: Duration::from_millis(settings.version_ms / 2),
        features: settings.mechanisms,
        ..DispatchSettings::default()
    }
}
