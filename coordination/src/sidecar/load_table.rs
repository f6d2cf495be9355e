use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::RequestId,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Load time assumed before the first measurement.
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(500);
/// Weight of the latest measurement in the moving average.
const LATEST_WEIGHT: f64 = 0.2;
/// Validity of a permit under `PermitMode::StaticShare`.
const STATIC_SHARE_LEASE: Duration = Duration::from_secs(5);

/// State of the permit for a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitState {
    /// No permit; to be requested at this time.
    RequestAt(Instant),
    Requested,
    /// The load may start before this time.
    GrantedUntil(Instant),
}

/// An adapter that is to be loaded for queued requests.
#[derive(Debug)]
pub(super) struct PendingLoad {
    pub(super) since: Instant,
    pub(super) permit: PermitState,
    pub(super) failed_permit_requests: u32,
    pub(super) failed_loads: u32,
}

impl PendingLoad {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            since: now,
            permit: PermitState::RequestAt(now),
            failed_permit_requests: 0,
            failed_loads: 0,
        }
    }
}

/// The pending loads and unloads of an engine.
#[derive(Debug)]
pub(super) struct LoadTable {
    pub(super) issuer: Option<SocketAddr>,
    /// The most urgent missing adapters, whose loads are being prepared or executed.
    pub(super) pending: HashMap<AdapterKey, PendingLoad>,
    /// Number of adapters that queued requests need and that are not loaded.
    pub(super) missing_count: usize,
    /// Queued requests that waited for a load.
    pub(super) stalled: HashSet<RequestId>,
    pub(super) unloading: HashSet<AdapterKey>,
    /// Mean time from the need for an adapter until it is loaded, in seconds.
    mean_load_delay_s: Option<f64>,
    /// Time of the next load under `PermitMode::StaticShare`.
    next_static_permit: Option<Instant>,
}

impl LoadTable {
    pub(super) fn new() -> Self {
        Self {
            issuer: None,
            pending: HashMap::new(),
            missing_count: 0,
            stalled: HashSet::new(),
            unloading: HashSet::new(),
            mean_load_delay_s: None,
            next_static_permit: None,
        }
    }
    /// Updates the address of the permit issuer, if the entry knows one.
    pub(super) fn set_issuer(&mut self, issuer: Option<SocketAddr>) {
        if issuer.is_some() {
            self.issuer = issuer;
        }
    }
    /// Returns the mean time from the need for an adapter until it is loaded.
    pub(super) fn expected_load_delay(&self) -> Duration {
        let seconds = self
            .mean_load_delay_s
            .unwrap_or(DEFAULT_LOAD_TIME.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }
    /// Returns whether the request waited for a load, and forgets it.
    pub(super) fn take_stalled(&mut self, request: &str) -> bool {
        self.stalled.remove(request)
    }
    /// Drops the unloads in progress: the slots were read after the engine accepted a new
    /// fence, so no earlier order can change them.
    pub(super) fn clear_unloading(&mut self) {
        self.unloading.clear();
    }
    /// Returns the state of a permit at a fixed rate in loads per second.
    pub(super) fn static_permit(&mut self, rate: f64, now: Instant) -> PermitState {
        match self.next_static_permit {
            Some(next) if now < next => PermitState::RequestAt(next),
            _ => {
                self.next_static_permit = Some(now + Duration::from_secs_f64(1.0 / rate));
                PermitState::GrantedUntil(now + STATIC_SHARE_LEASE)
            }
        }
    }
    /// Adds a load delay to the moving average.
    pub(super) fn record_load_delay(&mut self, delay: Duration) {
        let latest = delay.as_secs_f64();
        let mean = self.mean_load_delay_s.unwrap_or(latest);
        self.mean_load_delay_s = Some(mean + LATEST_WEIGHT * (latest - mean));
    }
}
