use {
    crate::slots::AdapterKey,
    chalkcart_state::ids::RequestId,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// assumed until a load was measured
const DEFAULT_LOAD_TIME: Duration = Duration::from_millis(500);
/// weight of the newest measurement
const SMOOTHING: f64 = 0.2;
/// how long a permit of a fixed rate may be used
const STATIC_LEASE: Duration = Duration::from_secs(5);

/// how far the way to a load has come
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PermitState {
    /// not asked, or told to ask again at this time
    AskAt(Instant),
    Asked,
    /// may load until this time
    Held(Instant),
}

/// an adapter that waiting requests lack
#[derive(Debug)]
pub(super) struct PendingLoad {
    pub(super) since: Instant,
    pub(super) permit: PermitState,
    /// asks without an answer
    pub(super) unanswered: u32,
    /// loads that failed
    pub(super) failed: u32,
}

impl PendingLoad {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            since: now,
            permit: PermitState::AskAt(now),
            unanswered: 0,
            failed: 0,
        }
    }
}

/// the loads that are wished for
#[derive(Debug)]
pub(super) struct LoadTable {
    pub(super) issuer: Option<SocketAddr>,
    /// wishes that are on their way, the most urgent ones
    pub(super) wishes: HashMap<AdapterKey, PendingLoad>,
    /// adapters that waiting requests lack, on their way or not
    pub(super) wished_count: usize,
    /// requests that waited for a load
    pub(super) stalled: HashSet<RequestId>,
    /// adapters whose unload is under way
    pub(super) unloading: HashSet<AdapterKey>,
    /// from the wish for an adapter until it is loaded, in seconds
    wish_time: Option<f64>,
    /// when a fixed rate allows the next load
    static_next: Option<Instant>,
}

impl LoadTable {
    pub(super) fn new() -> Self {
        Self {
            issuer: None,
            wishes: HashMap::new(),
            wished_count: 0,
            stalled: HashSet::new(),
            unloading: HashSet::new(),
            wish_time: None,
            static_next: None,
        }
    }
    /// an entry said who gives permits
    pub(super) fn on_issuer(&mut self, issuer: Option<SocketAddr>) {
        if issuer.is_some() {
            self.issuer = issuer;
        }
    }
    /// time from the wish for an adapter until it is loaded, smoothed
    pub(super) fn expected_time(&self) -> Duration {
        let seconds = self.wish_time.unwrap_or(DEFAULT_LOAD_TIME.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }
    pub(super) fn take_stalled(&mut self, request: &str) -> bool {
        self.stalled.remove(request)
    }
    /// the slots were read anew, after every earlier order
    pub(super) fn forget_orders(&mut self) {
        self.unloading.clear();
    }
    /// the next load of a fixed rate
    pub(super) fn next_static(&mut self, rate: f64, now: Instant) -> PermitState {
        match self.static_next {
            Some(next) if now < next => PermitState::AskAt(next),
            _ => {
                self.static_next = Some(now + Duration::from_secs_f64(1.0 / rate));
                PermitState::Held(now + STATIC_LEASE)
            }
        }
    }
    /// an adapter was loaded this long after the wish for it
    pub(super) fn measure(&mut self, since_wish: Duration) {
        let newest = since_wish.as_secs_f64();
        let before = self.wish_time.unwrap_or(newest);
        self.wish_time = Some(before + SMOOTHING * (newest - before));
    }
}
