//! loads and unloads of adapters, and the permits for them

use {
    super::{OrderFence, OrderResult, PermitMode, SidecarAction, SidecarControl},
    crate::slots::{AdapterKey, Room},
    chalkcart_protocol::peer::{PermitAnswer, PermitAsk, PermitPurpose, Reason, Step},
    chalkcart_state::ids::{Incarnation, RequestId},
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
/// asks without an answer after which a load goes ahead without a permit
const MAX_UNANSWERED: u32 = 2;
/// pause after an ask without an answer
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);
/// how long a permit of a fixed rate may be used
const STATIC_LEASE: Duration = Duration::from_secs(5);
/// failed loads after which the waiting requests are refused
const MAX_FAILED_LOADS: u32 = 3;
/// pause after the first failed load; doubles each time
const FAILED_LOAD_PAUSE: Duration = Duration::from_millis(100);

/// how far the way to a load has come
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PermitState {
    /// not asked, or told to ask again at this time
    AskAt(Instant),
    Asked,
    /// may load until this time
    Held(Instant),
}

#[derive(Debug)]
struct Wish {
    since: Instant,
    permit: PermitState,
    unanswered: u32,
    failed: u32,
}

/// the loads that are wished for
#[derive(Debug)]
pub(super) struct LoadBook {
    giver: Option<SocketAddr>,
    wishes: HashMap<AdapterKey, Wish>,
    /// permits whose load is under way
    loading: HashMap<AdapterKey, SocketAddr>,
    /// requests that waited for a load
    stalled: HashSet<RequestId>,
    /// engine orders whose end was not heard, by adapter
    unloading: HashSet<AdapterKey>,
    load_time: Option<f64>,
    /// when a fixed rate allows the next load
    static_next: Option<Instant>,
}

impl LoadBook {
    pub(super) fn new() -> Self {
        Self {
            giver: None,
            wishes: HashMap::new(),
            loading: HashMap::new(),
            stalled: HashSet::new(),
            unloading: HashSet::new(),
            load_time: None,
            static_next: None,
        }
    }
    /// an entry said who gives permits
    pub(super) fn on_giver(&mut self, giver: Option<SocketAddr>) {
        if giver.is_some() {
            self.giver = giver;
        }
    }
    /// time from the wish for an adapter until it is loaded, smoothed
    pub(super) fn load_time(&self) -> Duration {
        let default = DEFAULT_LOAD_TIME.as_secs_f64();
        Duration::from_secs_f64(self.load_time.unwrap_or(default))
    }
    pub(super) fn take_stalled(&mut self, request: &str) -> bool {
        self.stalled.remove(request)
    }
    /// the slots were read anew, after every earlier order
    pub(super) fn forget_orders(&mut self) {
        self.unloading.clear();
    }
    /// the next load of a fixed rate
    fn next_static(&mut self, rate: f64, now: Instant) -> PermitState {
        match self.static_next {
            Some(next) if now < next => PermitState::AskAt(next),
            _ => {
                self.static_next = Some(now + Duration::from_secs_f64(1.0 / rate));
                PermitState::Held(now + STATIC_LEASE)
            }
        }
    }
    fn measure(&mut self, took: Duration) {
        let newest = took.as_secs_f64();
        let before = self.load_time.unwrap_or(newest);
        self.load_time = Some(before + SMOOTHING * (newest - before));
    }
}

impl SidecarControl {
    /// move the most urgent wishes one step on; the others wait here, so that
    /// the giver hears only of what may be loaded next
    pub(super) fn load_what_waits(&mut self, now: Instant) {
        let wished = self.wished_adapters(now);
        self.drop_old_wishes(&wished);
        let under_way = self.slots.loading_count() + self.loads.unloading.len();
        let places = self.settings.max_loads.saturating_sub(under_way);
        let mut advanced = 0;
        for key in &wished {
            if advanced >= places {
                return;
            }
            // loading, unloading, or running empty for another
            if self.slots.phase(key).is_none() {
                self.advance_wish(key, now);
                advanced += 1;
            }
        }
    }

    /// how long a request for an adapter that is not loaded would wait for
    /// it; zero while no other load is waited for, so that a bad measurement
    /// can't keep the next one from being made
    pub(super) fn expected_stall(&self, key: &AdapterKey) -> Duration {
        let is_wished = self.slots.phase(key).is_some() || self.loads.wishes.contains_key(key);
        let before = self.loads.wishes.len() / self.settings.max_loads.max(1);
        match is_wished {
            true => Duration::ZERO,
            false => self.loads.load_time() * before as u32,
        }
    }

    pub(super) fn on_permit(
        &mut self,
        key: &AdapterKey,
        answer: Option<PermitAnswer>,
        now: Instant,
    ) {
        let Some(wish) = self.loads.wishes.get_mut(key) else {
            if matches!(answer, Some(PermitAnswer::Granted { .. })) {
                self.return_permit(key);
            }
            return;
        };
        wish.permit = match answer {
            Some(PermitAnswer::Granted { lease }) => PermitState::Held(now + lease),
            Some(PermitAnswer::Wait { retry_after }) => PermitState::AskAt(now + retry_after),
            None => {
                wish.unanswered += 1;
                PermitState::AskAt(now + UNANSWERED_PAUSE)
            }
        };
    }

    pub(super) fn on_load_ended(
        &mut self,
        key: &AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
        took: Duration,
        now: Instant,
    ) {
        self.loads.loading.remove(key);
        self.return_permit(key);
        match result {
            OrderResult::Done => {
                let wish = self.loads.wishes.remove(key);
                // the way to the permit is a part of what requests wait for
                let waited = wish.map(|w| now.saturating_duration_since(w.since));
                self.loads.measure(waited.unwrap_or(took));
            }
            OrderResult::Failed => self.on_load_failed(key, now),
            OrderResult::Fenced => self.doubt(),
            OrderResult::Unknown => self.doubt_orders(),
        }
        let is_current = self.order_fence().map(|o| o.incarnation) == Some(incarnation);
        if is_current {
            self.slots.end_load(key, result == OrderResult::Done, now);
        }
    }

    pub(super) fn on_unload_ended(
        &mut self,
        key: &AdapterKey,
        incarnation: Incarnation,
        result: OrderResult,
    ) {
        self.loads.unloading.remove(key);
        match result {
            OrderResult::Done => {
                let is_current = self.order_fence().map(|o| o.incarnation) == Some(incarnation);
                if is_current {
                    self.slots.end_unload(key);
                }
            }
            OrderResult::Failed | OrderResult::Fenced => self.doubt(),
            OrderResult::Unknown => self.doubt_orders(),
        }
    }

    /// adapters that waiting requests lack, the most urgent first
    fn wished_adapters(&mut self, now: Instant) -> Vec<AdapterKey> {
        let mut wished = Vec::new();
        for request in self.queue.order(now) {
            let Some(waiting) = self.queue.get(&request) else {
                continue;
            };
            let Some(key) = waiting.adapter.clone() else {
                continue;
            };
            if !self.is_stalled(waiting) {
                continue;
            }
            self.loads.stalled.insert(request);
            if !wished.contains(&key) {
                wished.push(key);
            }
        }
        let queue = &self.queue;
        self.loads.stalled.retain(|request| queue.contains(request));
        wished
    }

    fn drop_old_wishes(&mut self, wished: &[AdapterKey]) {
        let dropped: Vec<AdapterKey> = self
            .loads
            .wishes
            .keys()
            .filter(|key| !wished.contains(key) && !self.loads.loading.contains_key(*key))
            .cloned()
            .collect();
        for key in dropped {
            self.loads.wishes.remove(&key);
            // a claim that nobody comes back for would hold up the others
            self.return_permit(&key);
        }
        let needs_slot = |key| self.slots.phase(key).is_none();
        if !wished.iter().any(needs_slot) {
            self.slots.stop_draining();
        }
    }

    fn advance_wish(&mut self, key: &AdapterKey, now: Instant) {
        let wish = self.loads.wishes.entry(key.clone()).or_insert(Wish {
            since: now,
            permit: PermitState::AskAt(now),
            unanswered: 0,
            failed: 0,
        });
        let room = self.slots.room(now);
        if room == Room::Full {
            self.make_room(key, now);
            return;
        }
        match wish.permit {
            PermitState::AskAt(at) if now >= at => self.ask_permit(key, now),
            PermitState::Held(until) if now >= until => {
                wish.permit = PermitState::AskAt(now);
            }
            PermitState::Held(_) => self.use_permit(key, room),
            PermitState::AskAt(_) | PermitState::Asked => {}
        }
    }

    /// no slot is free: once the oldest waiting request was overtaken by
    /// enough, let one slot run empty
    fn make_room(&mut self, key: &AdapterKey, now: Instant) {
        let bound = self.policy.batch_ahead_tokens;
        let waits = |w: &&crate::queue::Waiting| w.adapter.as_ref() == Some(key);
        let overtaken = self.queue.iter().filter(waits).map(|w| w.overtaken).max();
        if overtaken.is_some_and(|tokens| tokens > bound) {
            self.slots.drain_one(now);
        }
    }

    fn ask_permit(&mut self, key: &AdapterKey, now: Instant) {
        let Some(wish) = self.loads.wishes.get_mut(key) else {
            return;
        };
        if let PermitMode::StaticShare(rate) = self.settings.permits {
            let permit = self.loads.next_static(rate, now);
            if let Some(wish) = self.loads.wishes.get_mut(key) {
                wish.permit = permit;
            }
            return;
        }
        let giver = match self.loads.giver {
            Some(giver) if wish.unanswered < MAX_UNANSWERED => giver,
            // the store keeps its own limit
            _ => {
                wish.permit = PermitState::Held(now + DEFAULT_LOAD_TIME);
                return;
            }
        };
        wish.permit = PermitState::Asked;
        let ask = self.permit_ask(key, PermitPurpose::Ask, now);
        self.actions.push(SidecarAction::AskPermit {
            giver,
            ask,
            adapter: key.clone(),
        });
    }

    fn permit_ask(&self, key: &AdapterKey, purpose: PermitPurpose, now: Instant) -> PermitAsk {
        let waiting = self
            .queue
            .iter()
            .filter(|w| w.adapter.as_ref() == Some(key));
        let most_urgent = waiting.min_by_key(|w| (w.priority_at(now), w.arrived));
        PermitAsk {
            purpose,
            target: self.settings.name.clone(),
            adapter: key.adapter.clone(),
            priority: most_urgent.map_or(u8::MAX, |w| w.priority_at(now)),
            waited: most_urgent
                .map_or(Duration::ZERO, |w| now.saturating_duration_since(w.arrived)),
        }
    }

    fn return_permit(&mut self, key: &AdapterKey) {
        let Some(giver) = self.loads.giver else {
            return;
        };
        self.actions.push(SidecarAction::ReturnPermit {
            giver,
            ask: PermitAsk {
                purpose: PermitPurpose::Return,
                target: self.settings.name.clone(),
                adapter: key.adapter.clone(),
                priority: 0,
                waited: Duration::ZERO,
            },
        });
    }

    fn use_permit(&mut self, key: &AdapterKey, room: Room) {
        let Some(order) = self.order_fence() else {
            return;
        };
        match room {
            Room::Free => self.order_load(key, order),
            Room::Evict(victim) => self.order_unload(&victim, order),
            Room::Full => {}
        }
    }

    fn order_load(&mut self, key: &AdapterKey, order: OrderFence) {
        if let Some(giver) = self.loads.giver {
            self.loads.loading.insert(key.clone(), giver);
        }
        self.slots.begin_load(key.clone());
        self.actions.push(SidecarAction::Load {
            adapter: key.clone(),
            order,
        });
    }

    fn order_unload(&mut self, key: &AdapterKey, order: OrderFence) {
        if !self.slots.begin_unload(key) {
            return;
        }
        self.loads.unloading.insert(key.clone());
        self.actions.push(SidecarAction::Unload {
            adapter: key.clone(),
            order,
        });
    }

    fn on_load_failed(&mut self, key: &AdapterKey, now: Instant) {
        let Some(wish) = self.loads.wishes.get_mut(key) else {
            return;
        };
        wish.failed += 1;
        if wish.failed < MAX_FAILED_LOADS {
            let pause = FAILED_LOAD_PAUSE * (1 << wish.failed);
            wish.permit = PermitState::AskAt(now + pause);
            return;
        }
        self.loads.wishes.remove(key);
        let waiting: Vec<RequestId> = self
            .queue
            .iter()
            .filter(|w| w.adapter.as_ref() == Some(key))
            .map(|w| w.request.clone())
            .collect();
        for request in waiting {
            self.queue.remove(&request);
            let refusal = self.refusal(Step::Load, Reason::LoadFailed);
            self.refuse_waiting(&request, refusal);
        }
    }
}
