use {
    super::{executor::Executor, shared::Shared},
    anyhow::{Context, Result},
    chalkcart_coordination::sidecar::{SidecarControl, SidecarEvent},
    chalkcart_transport::clock,
    std::{
        sync::{
            mpsc::{Receiver, RecvTimeoutError},
            Arc,
        },
        thread,
        time::Duration,
    },
};

/// Maximum interval at which the control state handles the passage of time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the thread that owns the control state.
pub fn start(
    mut control: SidecarControl,
    events: Receiver<SidecarEvent>,
    shared: Arc<Shared>,
    executor: Executor,
) -> Result<()> {
    let run = move || loop {
        let event = match events.recv_timeout(TICK_INTERVAL) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => SidecarEvent::Tick,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let actions = control.handle(event, clock::now());
        shared.report.store(Arc::new(control.report()));
        shared.set_ready(control.is_ready() && !control.is_leaving());
        for action in actions {
            executor.perform(action);
        }
    };
    let builder = thread::Builder::new().name("control".to_string());
    builder
        .spawn(run)
        .context("cannot start the control thread")?;
    Ok(())
}
