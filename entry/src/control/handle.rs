use {
    super::{EntryEvent, TargetSummary},
    chalkcart_coordination::routing::{Route, RouteRequest},
    chalkcart_protocol::peer::{PermitRequest, PermitResponse},
    chalkcart_state::{fleet::FleetBox, ids::BoxName},
    std::{sync::mpsc, time::Duration},
    tokio::sync::oneshot,
};

/// Retry delay for a permit request if the control thread is gone.
const PERMIT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Sends events and requests to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    events: mpsc::Sender<EntryEvent>,
}

impl ControlHandle {
    pub fn new(events: mpsc::Sender<EntryEvent>) -> Self {
        Self { events }
    }
    pub fn send(&self, event: EntryEvent) {
        // Sending fails only if the control thread has ended, which it does with the process.
        let _ = self.events.send(event);
    }
    pub async fn route(&self, request: RouteRequest) -> Option<Route> {
        let response = self
            .request(|reply| EntryEvent::Route { request, reply })
            .await;
        response.flatten()
    }
    pub async fn find_target(&self, target: BoxName) -> Option<FleetBox> {
        let response = self
            .request(|reply| EntryEvent::FindTarget { target, reply })
            .await;
        response.flatten()
    }
    pub async fn try_take_retry(&self) -> bool {
        let response = self
            .request(|reply| EntryEvent::TryTakeRetry { reply })
            .await;
        response.unwrap_or(false)
    }
    pub async fn request_permit(&self, request: PermitRequest) -> PermitResponse {
        let response = self
            .request(|reply| EntryEvent::Permit { request, reply })
            .await;
        response.unwrap_or(PermitResponse::Wait {
            retry_after: PERMIT_RETRY_AFTER,
        })
    }
    pub async fn plan(&self, request: RouteRequest) -> Vec<Route> {
        let response = self
            .request(|reply| EntryEvent::Plan { request, reply })
            .await;
        response.unwrap_or_default()
    }
    pub async fn target_summaries(&self) -> Vec<TargetSummary> {
        let response = self
            .request(|reply| EntryEvent::TargetSummaries { reply })
            .await;
        response.unwrap_or_default()
    }

    async fn request<T>(&self, event: impl FnOnce(oneshot::Sender<T>) -> EntryEvent) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.send(event(reply));
        response.await.ok()
    }
}
