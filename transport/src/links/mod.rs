//! connections to the sidecars of engines, of entries and of relays

mod sidecar_links;
mod view_sink;

pub use {sidecar_links::SidecarLinks, view_sink::ViewSink};
