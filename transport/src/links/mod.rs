//! Connections from entries and relays to the sidecars of engines.

mod relay_link;
mod relay_outbox;
mod sidecar_links;
mod view_sink;

pub use {
    relay_link::{RelayLink, RelayLinkSettings},
    sidecar_links::SidecarLinks,
    view_sink::ViewSink,
};
