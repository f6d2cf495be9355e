use {
    super::pending_replies::PendingReplies,
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

/// State that the control thread and the traffic threads share.
pub struct Shared {
    pub settings: Settings,
    pub streams: StreamHub,
    /// Updated by the control thread after each event.
    pub report: Arc<ArcSwap<TargetReport>>,
    pub reserve_replies: PendingReplies<ReserveAnswer>,
    pub cancel_replies: PendingReplies<Outcome>,
    pub metrics: RequestMetrics,
    pub drained: watch::Sender<bool>,
    is_ready: AtomicBool,
    events: mpsc::Sender<SidecarEvent>,
}

impl Shared {
    pub fn new(
        settings: Settings,
        report: TargetReport,
        events: mpsc::Sender<SidecarEvent>,
    ) -> Self {
        Self {
            streams: StreamHub::new(settings.buffer_bytes),
            settings,
            report: Arc::new(ArcSwap::from_pointee(report)),
            reserve_replies: PendingReplies::default(),
            cancel_replies: PendingReplies::default(),
            metrics: RequestMetrics::new(),
            drained: watch::Sender::new(false),
            is_ready: AtomicBool::new(false),
            events,
        }
    }
    /// Sends an event to the control thread.
    pub fn send(&self, event: SidecarEvent) {
        // The control thread runs until the process ends.
        let _ = self.events.send(event);
    }
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.text()
    }
    /// Returns whether the target accepts this sidecar's orders and the sidecar isn't draining.
    fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}
