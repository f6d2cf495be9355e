use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Why a client was turned away, or for what it gave way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WayGivenLabel {
    pub cause: &'static str,
}

/// A listening socket of the process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DoorLabel {
    pub door: &'static str,
}

/// Metrics of a process about what its clients hold.
#[derive(Debug, Clone, Default)]
pub struct ClientMetrics {
    /// Bytes of heads and bodies that clients hold.
    pub held: Gauge,
    gave_way: Family<WayGivenLabel, Counter>,
    closed_unread: Family<DoorLabel, Counter>,
}

impl ClientMetrics {
    pub fn on_gave_way(&self, cause: &'static str) {
        self.gave_way.get_or_create(&WayGivenLabel { cause }).inc();
    }

    pub fn on_closed_unread(&self, door: &'static str) {
        self.closed_unread.get_or_create(&DoorLabel { door }).inc();
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "client_held_bytes",
            "Bytes of heads and bodies that clients hold",
            self.held.clone(),
        );
        registry.register(
            "client_gave_way",
            "Connections and requests of clients that were ended for want of room or time",
            self.gave_way.clone(),
        );
        registry.register(
            "door_closed_unread",
            "Connections closed unread as no other gave way for them",
            self.closed_unread.clone(),
        );
    }
}
