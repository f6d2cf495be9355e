use {
    super::tickets::Tickets,
    crate::{conf::Settings, streams::StreamHub},
    arc_swap::ArcSwap,
    chalkcart_coordination::sidecar::SidecarEvent,
    chalkcart_protocol::peer::{Outcome, ReserveAnswer, TargetReport},
    chalkcart_transport::{metrics::RequestMetrics, server::pages::ProcessStatus},
    std::sync::{
        atomic::{AtomicBool, Ordering},
        mpsc, Arc,
    },
    tokio::sync::watch,
};

/// what the control thread and the traffic threads share
pub struct Shared {
    pub settings: Settings,
    pub hub: StreamHub,
    /// published by the control thread after each event
    pub report: Arc<ArcSwap<TargetReport>>,
    pub reserves: Tickets<ReserveAnswer>,
    pub cancels: Tickets<Outcome>,
    pub metrics: RequestMetrics,
    pub drained: watch::Sender<bool>,
    ready: AtomicBool,
    events: mpsc::Sender<SidecarEvent>,
}

impl Shared {
    pub fn new(
        settings: Settings,
        report: TargetReport,
        events: mpsc::Sender<SidecarEvent>,
    ) -> Self {
        Self {
            hub: StreamHub::new(settings.buffer_bytes),
            settings,
            report: Arc::new(ArcSwap::from_pointee(report)),
            reserves: Tickets::default(),
            cancels: Tickets::default(),
            metrics: RequestMetrics::new(),
            drained: watch::Sender::new(false),
            ready: AtomicBool::new(false),
            events,
        }
    }
    /// hand an event to the control thread
    pub fn tell(&self, event: SidecarEvent) {
        // the control thread ends only with the process
        let _ = self.events.send(event);
    }
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.text()
    }
    /// obeyed by its target, and not leaving
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}
