//! Decisions of the sidecar of one target: admission, queueing, loads and runs.

mod actions;
mod events;
mod load_table;
mod loading;
mod queueing;
mod running;
mod settings;
mod sidecar_control;

pub use {
    actions::{OrderFence, SidecarAction},
    events::{OrderResult, ReplyId, RunEnd, SidecarEvent},
    settings::{PermitMode, SidecarSettings, TargetKind},
    sidecar_control::SidecarControl,
};
