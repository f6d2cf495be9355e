use {crate::cluster::Binaries, std::time::Duration};

#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Seeds the faults and the clients' requests; the timing differs between runs of a seed.
    pub seed: u64,
    pub engines: u8,
    pub plain: u8,
    pub clients: u32,
    /// Number of entries; `None` for two to six, by the seed.
    pub entries: Option<u8>,
    /// Whether another client keeps sending a request that crashes each engine that runs it.
    pub has_crashing_requests: bool,
    /// Whether another client keeps sending requests with a part that crashes each engine, no two
    /// alike.
    pub has_crashing_parts: bool,
    /// Whether engines also announce that they leave or need a back-off; changes the faults
    /// that a seed generates.
    pub has_backend_signals: bool,
    /// Whether back ends also announce rate limits; changes the faults that a seed generates.
    pub has_rate_limits: bool,
    /// Whether the store also returns with an older state; changes the faults that a seed
    /// generates.
    pub has_store_restores: bool,
    /// Number of engines from which on entries use a relay; `None` for relays at each second seed.
    pub relays_from_engines: Option<usize>,
    /// Whether streams may be resumed, and have more events.
    pub has_resumable_streams: bool,
    /// Whether engines run two software versions and clients take up streams that broke off.
    pub has_software_versions: bool,
    /// Whether engines of one software version are replaced by those of another one, and all entries
    /// or sidecars are killed at one moment meanwhile; clients take up streams that broke off.
    pub has_releases: bool,
    /// Whether back ends also end connections in the heads of their responses; changes the faults
    /// that a seed generates.
    pub has_cut_heads: bool,
    /// Whether engines end streams with their connection, also inside an event.
    pub has_unframed_ends: bool,
    /// Whether plain back ends close all connections without a response until the recovery, so
    /// that entries repeat as much as they may.
    pub has_failing_plain: bool,
    /// Whether crowds also open most connections to an ingress that is small meanwhile; changes
    /// the faults that a seed generates.
    pub has_crowds: bool,
    /// Programs of an older build; process starts alternate between it and this build.
    pub other_build: Option<Binaries>,
    /// Period during which faults start.
    pub fault_period: Duration,
    /// Mean time between the starts of two faults; they last longer on average and overlap.
    pub mean_fault_interval: Duration,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            engines: 3,
            plain: 2,
            clients: 16,
            entries: None,
            has_crashing_requests: false,
            has_crashing_parts: false,
            has_backend_signals: false,
            has_rate_limits: false,
            has_store_restores: false,
            relays_from_engines: None,
            has_resumable_streams: false,
            has_software_versions: false,
            has_releases: false,
            has_cut_heads: false,
            has_unframed_ends: false,
            has_failing_plain: false,
            has_crowds: false,
            other_build: None,
            fault_period: Duration::from_secs(8),
            mean_fault_interval: Duration::from_millis(500),
        }
    }
}

/// Fewest and most entries of a soak.
const MIN_ENTRIES: u64 = 2;
const MAX_ENTRIES: u64 = 6;

impl SoakSettings {
    pub fn entry_count(&self) -> u8 {
        let by_seed = MIN_ENTRIES + self.seed % (MAX_ENTRIES - MIN_ENTRIES + 1);
        self.entries.unwrap_or(by_seed as u8)
    }
    /// Returns whether clients take up streams that broke off.
    pub(super) fn takes_up_streams(&self) -> bool {
        self.has_software_versions || self.has_releases
    }
    pub(super) fn relay_threshold(&self) -> usize {
        let by_seed = match self.seed.is_multiple_of(2) {
            true => usize::MAX,
            false => 1,
        };
        self.relays_from_engines.unwrap_or(by_seed)
    }
}
