use {
    super::Shared,
    crate::{
        conf::Settings,
        config::ConfigWatcher,
        control::{self, EntryControl},
        server::new_router,
    },
    anyhow::{Context, Result},
    chalkcart_node::{
        runtime::run_process,
        settings::SettingsReloader,
        signals::{stop_cause, unless_stopped},
    },
    chalkcart_transport::{
        clock,
        server::{self, HeldDoor},
        supervision::supervised,
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// Runs the entry until it receives a stop signal.
pub fn serve(settings: Settings, reloader: SettingsReloader) -> Result<()> {
    let (name, log) = (settings.name.clone(), settings.log.clone());
    run_process(&name, &log, settings.threads, run(settings, reloader))
}

async fn run(settings: Settings, reloader: SettingsReloader) -> Result<()> {
    let listen = async { Ok(server::bind(settings.listen).await?) };
    let Some(listener) = unless_stopped(listen).await? else {
        return Ok(());
    };
    let (control, control_end) = control::start(EntryControl::new(&settings, clock::now()));
    let shared = Arc::new(Shared::new(settings, control));
    let reader = shared.clone();
    let read = move || ConfigWatcher::new(reader.clone()).run();
    tokio::spawn(supervised("configuration", read));
    let (stop, stopped) = watch::channel(false);
    let router = new_router(shared.clone());
    let door = HeldDoor::only(shared.settings.client_bytes());
    let grace = shared.settings.drain();
    let served = tokio::spawn(server::serve(listener, router, door, stopped, grace));
    tokio::spawn(reloader.check::<Settings>());
    log::info!("entry: serves on {}", shared.settings.listen);
    let stopped_by = stop_cause(control_end.wait()).await?;
    log::info!("entry: drains after {stopped_by}");
    shared.set_stopping();
    stop.send_replace(true);
    served.await.context("the server task failed")??;
    log::info!("entry: stopped");
    stopped_by.result()
}
