use {
    chalkcart_state::ids::{BoxName, Fence, Incarnation},
    std::time::Duration,
};

/// what stands behind the sidecar
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// checks fences, loads adapters
    Engine,
    /// takes calls from anybody
    Service { max_running: u32 },
}

/// how loads keep to the weight store's limit
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PermitMode {
    /// an entry gives permits
    Issued,
    /// each sidecar for itself, with back-off; the store limits
    Unlimited,
    /// a fixed part of the store's rate, in loads a second
    StaticShare(f64),
}

/// settings of a sidecar's decisions
#[derive(Debug, Clone)]
pub struct SidecarSettings {
    pub name: BoxName,
    pub incarnation: Incarnation,
    /// lower bound of this process's fence, in ms since the Unix epoch
    pub epoch: Fence,
    pub kind: TargetKind,
    /// a pause longer than this makes all beliefs doubtful
    pub lease: Duration,
    /// reserved ids remembered at most
    pub id_capacity: usize,
    /// how long a reserved id may wait for its use
    pub id_valid_for: Duration,
    /// loads in flight at most
    pub max_concurrent_loads: usize,
    /// how often the engine is read when nothing happens
    pub read_interval: Duration,
    /// how loads keep to the weight store's limit
    pub permits: PermitMode,
    /// seed of the random parts of reserved ids
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
