//! the one thread that owns what this entry knows of the targets

mod control_thread;
mod entry_control;
mod events;
mod handle;

pub use {
    control_thread::start,
    entry_control::EntryControl,
    events::{EntryEvent, TargetSummary},
    handle::ControlHandle,
};
