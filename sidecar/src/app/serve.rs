use {
    super::{
        config_sync::ConfigSync,
        control_thread,
        executor::{Executor, TargetClient},
        shared::Shared,
    },
    crate::{
        conf::{Settings, TargetSettings},
        server::new_router,
    },
    anyhow::{Context, Result},
    chalkcart_coordination::sidecar::{SidecarControl, SidecarEvent, SidecarSettings, TargetKind},
    chalkcart_node::{runtime::run_process, signals::stop_signal},
    chalkcart_transport::{clock, engine::HttpEngine, server, service::HttpService},
    std::{
        sync::{mpsc, Arc},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        runtime::Handle,
        sync::watch,
        time::{sleep, timeout},
    },
};

const SWEEP_EVERY: Duration = Duration::from_secs(1);
const DRAIN_LOOK: Duration = Duration::from_millis(20);
/// time for the last bytes of answers on their way
const CLOSE_GRACE: Duration = Duration::from_secs(5);

/// run the sidecar until it is asked to stop
pub fn serve(settings: Settings) -> Result<()> {
    let (name, log) = (settings.name.clone(), settings.log.clone());
    run_process(&name, &log, settings.threads, run(settings))
}

async fn run(settings: Settings) -> Result<()> {
    let listener = server::bind(settings.listen).await?;
    let shared = start_control(settings)?;
    tokio::spawn(ConfigSync::new(shared.clone()).run());
    tokio::spawn(sweep(shared.clone()));
    let (stop, stopped) = watch::channel(false);
    let router = new_router(shared.clone());
    let served = tokio::spawn(server::serve(listener, router, stopped, CLOSE_GRACE));
    log::info!("sidecar: serves on {}", shared.settings.listen);
    let signal = stop_signal().await?;
    log::info!("sidecar: drains after {signal}");
    drain(&shared).await;
    stop.send_replace(true);
    served.await.context("join the server")??;
    log::info!("sidecar: stopped");
    Ok(())
}

fn start_control(settings: Settings) -> Result<Arc<Shared>> {
    let now = clock::now();
    let control = SidecarControl::new(control_settings(&settings)?, now);
    let (tx, rx) = mpsc::channel();
    let target = target_client(&settings);
    let shared = Arc::new(Shared::new(settings, control.report(), tx));
    let executor = Executor::new(shared.clone(), target, Handle::current());
    control_thread::start(control, rx, shared.clone(), executor)?;
    Ok(shared)
}

fn control_settings(settings: &Settings) -> Result<SidecarSettings> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("read the clock")?;
    let kind = match settings.target {
        TargetSettings::Engine { .. } => TargetKind::Engine,
        TargetSettings::Service { max_running, .. } => TargetKind::Service { max_running },
    };
    Ok(SidecarSettings {
        name: settings.name.clone(),
        incarnation: rand::random(),
        epoch: since_epoch.as_millis() as u64,
        kind,
        lease: settings.lease(),
        id_capacity: settings.id_capacity,
        id_valid_for: settings.id_valid(),
        permits: settings.permits.into(),
        seed: rand::random(),
        ..SidecarSettings::default()
    })
}

fn target_client(settings: &Settings) -> TargetClient {
    match &settings.target {
        TargetSettings::Engine { addr } => TargetClient::Engine(Arc::new(HttpEngine::new(*addr))),
        TargetSettings::Service { addr, .. } => {
            TargetClient::Service(Arc::new(HttpService::new(*addr)))
        }
    }
}

/// refuse what waits, and let what runs end and reach its readers
async fn drain(shared: &Shared) {
    shared.send(SidecarEvent::DrainRequested);
    let mut drained = shared.drained.subscribe();
    let ended = async {
        // the sender lives as long as this process
        let _ = drained.wait_for(|done| *done).await;
        while shared.hub.unread() > 0 {
            sleep(DRAIN_LOOK).await;
        }
    };
    if timeout(shared.settings.drain(), ended).await.is_err() {
        log::error!(
            "sidecar: requests still run after {:?}",
            shared.settings.drain()
        );
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_EVERY).await;
        for request in shared.hub.sweep(clock::now()) {
            log::info!("streams: {request} stopped, nobody reads it");
            let (reply, _) = shared.cancels.issue();
            shared.send(SidecarEvent::CancelRequested { reply, request });
        }
    }
}
