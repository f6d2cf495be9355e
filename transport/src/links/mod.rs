//! Connections from entries and relays to the sidecars of engines.

mod sidecar_links;
mod view_sink;

pub use {sidecar_links::SidecarLinks, view_sink::ViewSink};
