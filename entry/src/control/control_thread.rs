use {
    super::{ControlHandle, EntryControl},
    anyhow::{Context, Result},
    chalkcart_transport::clock,
    std::{sync::mpsc, thread},
};

/// Starts the control thread, which ends when the last handle is dropped.
pub fn start(mut control: EntryControl) -> Result<ControlHandle> {
    let (tx, rx) = mpsc::channel();
    let run = move || {
        for event in rx {
            control.handle(event, clock::now());
        }
    };
    let builder = thread::Builder::new().name("control".to_string());
    builder
        .spawn(run)
        .context("cannot start the control thread")?;
    Ok(ControlHandle::new(tx))
}
