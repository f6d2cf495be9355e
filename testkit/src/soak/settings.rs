use {crate::cluster::Binaries, std::time::Duration};

/// what a soak is made of
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// of the faults and of what clients ask for; two runs of one seed differ in timing
    pub seed: u64,
    pub engines: u8,
    pub plain: u8,
    pub clients: u32,
    /// one more client sends a request that ends each engine which runs it, again and again
    pub crashing_requests: bool,
    /// engines also say of themselves that they leave or want rest; seeds draw other faults
    /// with it
    pub backend_signals: bool,
    /// back ends also name how many requests they take; seeds draw other faults with it
    pub rate_limits: bool,
    /// programs of an older build, which processes are started with in turn
    pub other_build: Option<Binaries>,
    /// how long faults strike
    pub fault_period: Duration,
    /// mean time between two faults; each lasts longer, so that they overlap
    pub mean_fault_interval: Duration,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: 3,
            plain: 2,
            clients: 16,
            crashing_requests: false,
            backend_signals: false,
            rate_limits: false,
            other_build: None,
            fault_period: Duration::from_secs(8),
            mean_fault_interval: Duration::from_millis(500),
        }
    }
}
