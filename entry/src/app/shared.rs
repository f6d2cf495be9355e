use {
    crate::{
        conf::Settings,
        config::ActiveConfig,
        control::{ControlHandle, EntryEvent},
    },
    chalkcart_coordination::membership::select_permit_issuer,
    chalkcart_transport::{
        client::PeerClient, metrics::RequestMetrics, server::pages::ProcessStatus,
    },
    std::{
        net::SocketAddr,
        sync::atomic::{AtomicBool, Ordering},
    },
};

/// The state shared by the threads of an entry.
pub struct Shared {
    pub settings: Settings,
    pub active_config: ActiveConfig,
    pub control: ControlHandle,
    pub peers: PeerClient,
    pub metrics: RequestMetrics,
    is_synced: AtomicBool,
    is_stopping: AtomicBool,
}

impl Shared {
    pub fn new(settings: Settings, control: ControlHandle) -> Self {
        Self {
            settings,
            active_config: ActiveConfig::default(),
            control,
            peers: PeerClient::new(),
            metrics: RequestMetrics::new(),
            is_synced: AtomicBool::new(false),
            is_stopping: AtomicBool::new(false),
        }
    }

    pub fn set_synced(&self) {
        self.is_synced.store(true, Ordering::Relaxed);
    }
    pub fn set_stopping(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    /// Reports a new configuration to the metrics and its store limits to the control thread.
    pub fn on_configuration(&self) {
        let Some(configuration) = self.active_config.configuration() else {
            return;
        };
        self.metrics.on_generation(configuration.generation());
        let policy = &configuration.root().policy;
        self.control.send(EntryEvent::StoreLimitsUpdated {
            loads_per_second: policy.store_loads_per_second,
            loads_at_once: policy.store_loads_at_once,
        });
    }

    /// Returns the address of the entry that issues load permits, by this entry's list of
    /// boxes.
    pub fn permit_issuer(&self) -> Option<SocketAddr> {
        select_permit_issuer(&self.active_config.list()).map(|b| b.addr)
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.text()
    }
    /// Returns whether the configuration was compared with peers and the entry is not stopping.
    fn is_ready(&self) -> bool {
        self.is_synced.load(Ordering::Relaxed) && !self.is_stopping.load(Ordering::Relaxed)
    }
}
