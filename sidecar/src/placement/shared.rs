use {
    chalkcart_coordination::placement::{PlacementControl, PlacementEvent},
    chalkcart_protocol::peer::EngineView,
    chalkcart_transport::clock,
    std::sync::{Mutex, MutexGuard},
    tokio::sync::{watch, Notify},
};

/// State that the placement task and the handlers share.
pub struct Shared {
    control: Mutex<PlacementControl>,
    /// Wakes the placement task after an event.
    pub changed: Notify,
    /// The view of the engine that entries receive.
    pub view: watch::Sender<EngineView>,
}

impl Shared {
    pub fn new(control: PlacementControl) -> Self {
        Self {
            control: Mutex::new(control),
            changed: Notify::new(),
            view: watch::Sender::default(),
        }
    }
    pub fn control(&self) -> MutexGuard<'_, PlacementControl> {
        // No holder panics in the middle of an update.
        self.control.lock().unwrap_or_else(|e| e.into_inner())
    }
    pub fn handle(&self, event: PlacementEvent) {
        self.control().handle(event, clock::now());
    }
}
