use {
    chalkcart_coordination::placement::{PlacementControl, PlacementEvent},
    chalkcart_protocol::peer::EngineView,
    chalkcart_transport::clock,
    std::sync::{Mutex, MutexGuard},
    tokio::sync::{watch, Notify},
};

/// what the keeper and the handlers share
pub struct Shared {
    control: Mutex<PlacementControl>,
    /// something came that the keeper should look at
    pub changed: Notify,
    /// what entries may know, replaced when it is worth sending
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
        // no holder panics halfway through a change
        self.control.lock().unwrap_or_else(|e| e.into_inner())
    }
    pub fn handle(&self, event: PlacementEvent) {
        self.control().handle(event, clock::now());
    }
}
