use {
    chalkcart_state::ids::{BoxName, Fence, Incarnation},
    std::time::Duration,
};

/// The kind of target behind the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// An inference engine, which checks fences and loads adapters.
    Engine,
    /// A plain service, without fences and adapters.
    Service { max_running: u32 },
}

/// How loads are limited to the weight store's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitMode {
    /// An entry issues a permit for each load.
    Issued,
    /// No permits: the store enforces its own limit, and sidecars back off.
    Unlimited,
    /// A fixed share of the store's rate, in loads per second.
    StaticShare(f64),
}

/// Settings of `SidecarControl`.
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    pub name: BoxName,
    pub incarnation: Incarnation,
    /// Lower bound of this process's fence, in ms since the Unix epoch.
    pub epoch: Fence,
    pub kind: TargetKind,
    /// After a longer pause of this process, the engine must be read again before the next
    /// order.
    pub lease: Duration,
    /// Maximum number of remembered reserved ids.
    pub id_capacity: usize,
    /// Time within which a reserved id may be used.
    pub id_valid_for: Duration,
    pub max_concurrent_loads: usize,
    pub read_interval: Duration,
    pub permits: PermitMode,
    /// Seed of the random parts of reserved ids.
    pub seed: u64,
}

impl Default for SidecarSettings {
    fn default() -> Self {
        Self {
            name: BoxName::new(),
            incarnation: 0,
            epoch: 0,
            kind: TargetKind::Engine,
            lease: Duration::from_secs(1),
            id_capacity: 100_000,
            id_valid_for: Duration::from_secs(600),
            max_concurrent_loads: 2,
            read_interval: Duration::from_millis(500),
            permits: PermitMode::Issued,
            seed: 0,
        }
    }
}
