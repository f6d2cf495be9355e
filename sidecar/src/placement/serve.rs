use {
    super::{
        handlers::{new_router, UsageTotals},
        placement_task::PlacementTask,
        shared::Shared,
    },
    crate::{
        conf::PlacementSettings,
        crashes::CrashAggregator,
        relay::{run_relay, RelayHub, StoreCache},
    },
    anyhow::{Context, Result},
    chalkcart_coordination::{
        limits::UsageAggregator,
        placement::{self, PlacementControl},
        relay::RelaySettings,
    },
    chalkcart_node::{
        runtime::{run_on_one_thread, ParkHooks},
        settings::SettingsReloader,
        signals::{stop_signal, unless_stopped},
    },
    chalkcart_protocol::wire::WireVersion,
    chalkcart_transport::{
        metadata::MetadataSource,
        orders::EngineControl,
        server::{self, HeldDoor},
        supervision::supervised,
    },
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::watch,
};

/// Runs the sidecar until it receives a stop signal.
pub fn serve(
    settings: PlacementSettings,
    reloader: SettingsReloader,
    engine: Arc<dyn EngineControl>,
    store: Option<Arc<dyn MetadataSource>>,
) -> Result<()> {
    let (name, log) = (settings.name.clone(), settings.log.clone());
    run_on_one_thread(
        &name,
        &log,
        ParkHooks::default(),
        run(settings, reloader, engine, store),
    )
}

async fn run(
    settings: PlacementSettings,
    reloader: SettingsReloader,
    engine: Arc<dyn EngineControl>,
    store: Option<Arc<dyn MetadataSource>>,
) -> Result<()> {
    log::info!(
        version = env!("CARGO_PKG_VERSION"),
        wire_version = WireVersion::CURRENT.0;
        "build: chalkcart-sidecar"
    );
    let listen = async { Ok(server::bind(settings.listen).await?) };
    let Some(listener) = unless_stopped(listen).await? else {
        return Ok(());
    };
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("the system clock is before the Unix epoch")?;
    let placement_settings = placement::PlacementSettings {
        features: settings.mechanisms,
        ..placement::PlacementSettings::default()
    };
    if !settings.defaulted.is_empty() {
        let defaulted = settings.defaulted.join(", ");
        log::warn!("settings: using defaults for: {defaulted}");
    }
    log::info!("settings: mechanisms {}", settings.mechanisms);
    let control = PlacementControl::new(placement_settings, since_epoch.as_millis() as u64);
    let shared = Arc::new(Shared::new(control));
    let placed = shared.clone();
    let place = move || PlacementTask::new(placed.clone(), engine.clone()).run();
    tokio::spawn(supervised("placement", place));
    let store_cache = Arc::new(StoreCache::new(store, settings.relay_pacing()));
    let relay = Arc::new(RelayHub::new(relay_settings(&settings), store_cache));
    let name = settings.name.clone();
    let (hub, port) = (relay.clone(), settings.listen.port());
    let run = move || run_relay(hub.clone(), name.clone(), port);
    tokio::spawn(supervised("relay", run));
    let usage = Arc::new(UsageTotals::new(UsageAggregator::new(rand::random())));
    let crashes = Arc::new(CrashAggregator::new(rand::random()));
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(server::serve(
        listener,
        new_router(shared, relay, usage, crashes),
        HeldDoor::only(settings.client_bytes()),
        stopped,
        Duration::ZERO,
    ));
    tokio::spawn(reloader.check::<PlacementSettings>());
    log::info!("sidecar: serves on {}", settings.listen);
    let signal = stop_signal().await?;
    // Requests are sent to the engine directly, so there is nothing to drain.
    log::info!("sidecar: stopped after {signal}");
    Ok(())
}

fn relay_settings(settings: &PlacementSettings) -> RelaySettings {
    RelaySettings {
        name: settings.name.clone(),
        ip: Some(settings.listen.ip()),
        min_engines_for_zone_relays: settings.zone_relays_from_engines,
    }
}
