//! The control thread, which owns the entry's table of targets, its retry budget and the load
//! permits that it issues.

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
