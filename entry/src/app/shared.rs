use {
    crate::{
        conf::Settings,
        config::ConfigKeeper,
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

/// what the threads of an entry share
pub struct Shared {
    pub settings: Settings,
    pub keeper: ConfigKeeper,
    pub control: ControlHandle,
    pub peers: PeerClient,
    pub metrics: RequestMetrics,
    synced: AtomicBool,
    stopping: AtomicBool,
}

impl Shared {
    pub fn new(settings: Settings, control: ControlHandle) -> Self {
        Self {
            settings,
            keeper: ConfigKeeper::default(),
            control,
            peers: PeerClient::new(),
            metrics: RequestMetrics::new(),
            synced: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
        }
    }

    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// follow a new configuration
    pub fn on_configuration(&self) {
        let Some(configuration) = self.keeper.configuration() else {
            return;
        };
        self.metrics.on_generation(configuration.generation());
        let policy = &configuration.root().policy;
        self.control.tell(EntryEvent::StoreLimits {
            loads_per_second: policy.store_loads_per_second,
            loads_at_once: policy.store_loads_at_once,
        });
    }

    /// the entry that gives load permits, as this one sees the fleet
    pub fn permit_giver(&self) -> Option<SocketAddr> {
        select_permit_issuer(&self.keeper.list()).map(|b| b.addr)
    }
}

impl ProcessStatus for Shared {
    fn metrics_text(&self) -> String {
        self.metrics.text()
    }
    /// has a configuration that was compared with peers, and is not stopping
    fn is_ready(&self) -> bool {
        self.synced.load(Ordering::Relaxed) && !self.stopping.load(Ordering::Relaxed)
    }
}
