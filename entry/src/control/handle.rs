use {
    super::{EntryEvent, TargetRow},
    chalkcart_coordination::routing::{Route, RouteRequest},
    chalkcart_protocol::peer::{PermitRequest, PermitResponse},
    chalkcart_state::{fleet::FleetBox, ids::BoxName},
    std::{sync::mpsc, time::Duration},
    tokio::sync::oneshot,
};

/// when a permit's asker comes back if the control thread is gone
const PERMIT_RETRY: Duration = Duration::from_millis(500);

/// the traffic threads' way to the control thread
#[derive(Clone)]
pub struct ControlHandle {
    events: mpsc::Sender<EntryEvent>,
}

impl ControlHandle {
    pub fn new(events: mpsc::Sender<EntryEvent>) -> Self {
        Self { events }
    }
    pub fn tell(&self, event: EntryEvent) {
        // the control thread ends only with the process
        let _ = self.events.send(event);
    }
    pub async fn route(&self, ask: RouteRequest) -> Option<Route> {
        let asked = self.ask(|answer| EntryEvent::Route { ask, answer }).await;
        asked.flatten()
    }
    pub async fn find(&self, target: BoxName) -> Option<FleetBox> {
        let asked = self.ask(|answer| EntryEvent::Find { target, answer }).await;
        asked.flatten()
    }
    pub async fn take_retry(&self) -> bool {
        let asked = self.ask(|answer| EntryEvent::TakeRetry { answer }).await;
        asked.unwrap_or(false)
    }
    pub async fn permit(&self, ask: PermitRequest) -> PermitResponse {
        let asked = self.ask(|answer| EntryEvent::Permit { ask, answer }).await;
        asked.unwrap_or(PermitResponse::Wait {
            retry_after: PERMIT_RETRY,
        })
    }
    pub async fn plan(&self, ask: RouteRequest) -> Vec<Route> {
        let asked = self.ask(|answer| EntryEvent::Plan { ask, answer }).await;
        asked.unwrap_or_default()
    }
    pub async fn status(&self) -> Vec<TargetRow> {
        let asked = self.ask(|answer| EntryEvent::Status { answer }).await;
        asked.unwrap_or_default()
    }

    async fn ask<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> EntryEvent) -> Option<T> {
        let (answer, asked) = oneshot::channel();
        self.tell(event(answer));
        asked.await.ok()
    }
}
