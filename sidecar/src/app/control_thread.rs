use {
    super::{executor::Executor, shared::Shared},
    chalkcart_coordination::{
        recovery::FaultSettings,
        sidecar::{SidecarControl, SidecarEvent},
    },
    chalkcart_node::runtime::start_thread,
    chalkcart_transport::{
        clock,
        supervision::{thread_end, Guard, Step, ThreadEnd},
    },
    std::{
        sync::{
            mpsc::{Receiver, RecvTimeoutError},
            Arc,
        },
        time::Duration,
    },
};

/// Maximum interval at which the control state handles the passage of time.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the thread that owns the control state, and returns its end.
pub fn start(
    mut control: SidecarControl,
    events: Receiver<SidecarEvent>,
    shared: Arc<Shared>,
    executor: Executor,
) -> ThreadEnd {
    let (end_on_drop, end) = thread_end();
    let run = move || {
        let _end = end_on_drop;
        let mut guard = Guard::new("control", FaultSettings::default());
        loop {
            let event = match events.recv_timeout(TICK_INTERVAL) {
                Ok(event) => event,
                Err(RecvTimeoutError::Timeout) => SidecarEvent::Tick,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let step = guard.step("event", || handle(&mut control, event, &shared, &executor));
            if step == Step::GaveUp {
                shared.set_ready(false);
                return;
            }
        }
    };
    start_thread("control", None, run);
    end
}

fn handle(control: &mut SidecarControl, event: SidecarEvent, shared: &Shared, executor: &Executor) {
    let actions = control.handle(event, clock::now());
    shared.report.store(Arc::new(control.report()));
    shared.set_ready(control.is_ready() && !control.is_leaving());
    for action in actions {
        executor.perform(action);
    }
}
