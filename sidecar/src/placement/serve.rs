use {
    super::{
        handlers::{new_router, UsageSums},
        keeper::Keeper,
        shared::Shared,
    },
    crate::{
        conf::PlacementSettings,
        crashes::CrashKeeper,
        relay::{run_pump, Published, RelayHub},
    },
    anyhow::{Context, Result},
    chalkcart_coordination::{
        limits::UsageAggregator,
        placement::{self, PlacementControl},
    },
    chalkcart_node::{
        runtime::run_on_one_thread, settings::SettingsReloader, signals::stop_signal,
    },
    chalkcart_protocol::wire::WireVersion,
    chalkcart_transport::{metadata::MetadataSource, orders::EngineControl, server},
    std::{
        sync::Arc,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::watch,
};

/// run the sidecar until it is asked to stop
pub fn serve(
    settings: PlacementSettings,
    follower: SettingsReloader,
    engine: Arc<dyn EngineControl>,
    store: Option<Arc<dyn MetadataSource>>,
) -> Result<()> {
    let (name, log) = (settings.name.clone(), settings.log.clone());
    run_on_one_thread(&name, &log, run(settings, follower, engine, store))
}

async fn run(
    settings: PlacementSettings,
    follower: SettingsReloader,
    engine: Arc<dyn EngineControl>,
    store: Option<Arc<dyn MetadataSource>>,
) -> Result<()> {
    log::info!(
        version = env!("CARGO_PKG_VERSION"),
        wire_version = WireVersion::CURRENT.0;
        "build: chalkcart-sidecar"
    );
    let listener = server::bind(settings.listen).await?;
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("read the clock")?;
    let limits = placement::PlacementSettings {
        mechanisms: settings.mechanisms,
        ..placement::PlacementSettings::default()
    };
    if !settings.defaulted.is_empty() {
        let defaulted = settings.defaulted.join(", ");
        log::warn!("settings: defaults in force: {defaulted}");
    }
    log::info!("settings: mechanisms {}", settings.mechanisms);
    let control = PlacementControl::new(limits, since_epoch.as_millis() as u64);
    let shared = Arc::new(Shared::new(control));
    tokio::spawn(Keeper::new(shared.clone(), engine).run());
    let published = Arc::new(Published::new(store, settings.relay_pacing()));
    let relay = Arc::new(RelayHub::new(settings.name.clone(), published));
    tokio::spawn(run_pump(relay.clone(), settings.listen.port()));
    let usage = Arc::new(UsageSums::new(UsageAggregator::new(rand::random())));
    let crashes = Arc::new(CrashKeeper::new(rand::random()));
    let (_stop, stopped) = watch::channel(false);
    tokio::spawn(server::serve(
        listener,
        new_router(shared, relay, usage, crashes),
        stopped,
        Duration::ZERO,
    ));
    tokio::spawn(follow_settings(follower));
    log::info!("sidecar: serves on {}", settings.listen);
    let signal = stop_signal().await?;
    // no request passes through this process: there is nothing to drain
    log::info!("sidecar: stopped after {signal}");
    Ok(())
}

/// check new settings; all of them take effect at the next start
async fn follow_settings(follower: SettingsReloader) {
    let apply = |settings: PlacementSettings| {
        log::info!(
            "settings: those of {} hold from the next start",
            settings.name
        );
    };
    if let Err(e) = follower.run(apply).await {
        log::error!("settings: not followed: {e:#}");
    }
}
