use {
    super::{ControlHandle, EntryControl},
    chalkcart_coordination::recovery::FaultSettings,
    chalkcart_node::runtime::start_thread,
    chalkcart_transport::{
        clock,
        supervision::{thread_end, Guard, Step, ThreadEnd},
    },
    std::sync::mpsc,
};

/// Starts the control thread, which ends when the last handle is dropped, or when it fails again
/// and again.
pub fn start(mut control: EntryControl) -> (ControlHandle, ThreadEnd) {
    let (tx, rx) = mpsc::channel();
    let (end_on_drop, end) = thread_end();
    let run = move || {
        let _end = end_on_drop;
        let mut guard = Guard::new("control", FaultSettings::default());
        for event in rx {
            let step = guard.step("event", || control.handle(event, clock::now()));
            if step == Step::GaveUp {
                return;
            }
        }
    };
    start_thread("control", None, run);
    (ControlHandle::new(tx), end)
}
