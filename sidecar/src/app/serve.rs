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
    chalkcart_node::{
        runtime::run_process,
        settings::SettingsReloader,
        signals::{stop_cause, unless_stopped},
    },
    chalkcart_transport::{
        clock,
        engine::HttpEngine,
        server::{self, HeldDoor},
        service::HttpService,
        supervision::{supervised, ThreadEnd},
    },
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

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time to send the rest of buffered responses after the drain.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the sidecar until it receives a stop signal, and drains it.
pub fn serve(settings: Settings, reloader: SettingsReloader) -> Result<()> {
    let (name, log) = (settings.name.clone(), settings.log.clone());
    run_process(&name, &log, settings.threads, run(settings, reloader))
}

async fn run(settings: Settings, reloader: SettingsReloader) -> Result<()> {
    let listen = async { Ok(server::bind(settings.listen).await?) };
    let Some(listener) = unless_stopped(listen).await? else {
        return Ok(());
    };
    let (shared, control_end) = start_control(settings)?;
    let synced = shared.clone();
    let sync = move || ConfigSync::new(synced.clone()).run();
    tokio::spawn(supervised("configuration", sync));
    let swept = shared.clone();
    tokio::spawn(supervised("streams", move || sweep(swept.clone())));
    let (stop, stopped) = watch::channel(false);
    let router = new_router(shared.clone());
    let door = HeldDoor::only(shared.settings.client_bytes());
    let server_task = tokio::spawn(server::serve(
        listener,
        router,
        door,
        stopped,
        CLOSE_TIMEOUT,
    ));
    tokio::spawn(reloader.check::<Settings>());
    log::info!("sidecar: serves on {}", shared.settings.listen);
    let stopped_by = stop_cause(control_end.wait()).await?;
    log::info!("sidecar: drains after {stopped_by}");
    drain(&shared).await;
    stop.send_replace(true);
    server_task.await.context("the server task failed")??;
    log::info!("sidecar: stopped");
    stopped_by.result()
}

fn start_control(settings: Settings) -> Result<(Arc<Shared>, ThreadEnd)> {
    let now = clock::now();
    let control = SidecarControl::new(control_settings(&settings)?, now);
    let (tx, rx) = mpsc::channel();
    let target = target_client(&settings);
    let shared = Arc::new(Shared::new(settings, control.report(), tx));
    let executor = Executor::new(shared.clone(), target, Handle::current());
    let end = control_thread::start(control, rx, shared.clone(), executor);
    Ok((shared, end))
}

fn control_settings(settings: &Settings) -> Result<SidecarSettings> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("the system clock is before the Unix epoch")?;
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
        id_valid_for: settings.id_validity(),
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

/// Rejects queued requests, and waits until running ones have ended and their responses are
/// read.
async fn drain(shared: &Shared) {
    shared.send(SidecarEvent::DrainRequested);
    let mut drained = shared.drained.subscribe();
    let all_read = async {
        // The sender is never dropped.
        let _ = drained.wait_for(|done| *done).await;
        while shared.streams.count_with_readers() > 0 {
            sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    if timeout(shared.settings.drain_timeout(), all_read)
        .await
        .is_err()
    {
        log::error!(
            "sidecar: drain timed out after {:?} with unfinished requests",
            shared.settings.drain_timeout()
        );
    }
}

/// Evicts ended streams, and cancels requests whose stream nobody reads.
async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        for request in shared.streams.sweep(clock::now()) {
            log::info!("streams: {request} cancelled: no entry reads its stream");
            let (reply, _) = shared.cancel_replies.register();
            shared.send(SidecarEvent::CancelRequested { reply, request });
        }
    }
}
