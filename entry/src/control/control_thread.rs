use {
    super::{ControlHandle, EntryControl},
    anyhow::{Context, Result},
    std::{sync::mpsc, thread, time::Instant},
};

/// start the control thread; it ends when the last handle is gone
pub fn start(mut control: EntryControl) -> Result<ControlHandle> {
    let (tx, rx) = mpsc::channel();
    let run = move || {
        for event in rx {
            control.handle(event, Instant::now());
        }
    };
    let builder = thread::Builder::new().name("control".to_string());
    builder.spawn(run).context("start the control thread")?;
    Ok(ControlHandle::new(tx))
}
