//! loads and unloads of adapters, and the permits for them

use {
    super::{
        load_book::{PermitState, Wish},
        OrderFence, OrderResult, PermitMode, SidecarAction, SidecarControl,
    },
    crate::slots::{AdapterKey, Room},
    chalkcart_protocol::peer::{PermitPurpose, PermitRequest, PermitResponse, Reason, Step},
    chalkcart_state::ids::{Incarnation, RequestId},
    std::time::{Duration, Instant},
};

/// asks without an answer after which a load goes ahead without a permit
const MAX_UNANSWERED: u32 = 2;
/// pause after an ask without an answer
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);
/// how long a load may go ahead without a permit
const UNGIVEN_LEASE: Duration = Duration::from_millis(500);
/// failed loads after which the waiting requests are refused
const MAX_FAILED_LOADS: u32 = 3;
/// pause after the first failed load; doubles each time
const FAILED_LOAD_PAUSE: Duration = Duration::from_millis(100);

impl SidecarControl {
    /// move the most urgent wishes one step on; the others wait here, so that
    /// the giver hears only of what may be loaded next
    pub(super) fn load_what_waits(&mut self, now: Instant) {
        let wished = self.wished_adapters(now);
        self.loads.wished_count = wished.len();
        let under_way = self.slots.loading_count() + self.loads.unloading.len();
        let places = self.settings.max_loads.saturating_sub(under_way);
        let mut next = wished;
        // loading, unloading, or running empty for another
        next.retain(|key| self.slots.phase(key).is_none());
        if next.is_empty() {
            self.slots.stop_draining();
        }
        next.truncate(places);
        self.drop_other_wishes(&next);
        for key in &next {
            self.advance_wish(key, now);
        }
    }

    /// how long a request for an adapter that is not loaded would wait for
    /// it; zero while no other load is waited for, so that a bad measurement
    /// can't keep the next one from being made
    pub(super) fn expected_stall(&self, key: &AdapterKey) -> Duration {
        let is_wished = self.slots.phase(key).is_some() || self.loads.wishes.contains_key(key);
        let before = self
            .loads
            .wished_count
            .div_ceil(self.settings.max_loads.max(1));
        match is_wished {
            true => Duration::ZERO,
            false => self.loads.expected_time() * before as u32,
        }
    }

    pub(super) fn on_permit(
        &mut self,
        key: &AdapterKey,
        answer: Option<PermitResponse>,
        now: Instant,
    ) {
        let Some(wish) = self.loads.wishes.get_mut(key) else {
            if matches!(answer, Some(PermitResponse::Granted { .. })) {
                self.return_permit(key);
            }
            return;
        };
        wish.permit = match answer {
            Some(PermitResponse::Granted { lease }) => PermitState::Held(now + lease),
            Some(PermitResponse::Wait { retry_after }) => PermitState::AskAt(now + retry_after),
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
        self.return_permit(key);
        match result {
            OrderResult::Done => {
                let wish = self.loads.wishes.remove(key);
                // the way to the permit is a part of what requests wait for
                let waited = wish.map(|w| now.saturating_duration_since(w.since));
                self.loads.measure(waited.unwrap_or(took));
            }
            OrderResult::Failed => self.on_load_failed(key, now),
            OrderResult::Fenced | OrderResult::Unknown => self.doubt(),
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
            OrderResult::Failed | OrderResult::Fenced | OrderResult::Unknown => self.doubt(),
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

    /// forget wishes that are gone or outranked; one whose load failed keeps
    /// its count of failures
    fn drop_other_wishes(&mut self, next: &[AdapterKey]) {
        let is_kept = |key: &AdapterKey, wish: &Wish| {
            let is_waited_for = || self.queue.iter().any(|w| w.adapter.as_ref() == Some(key));
            let is_under_way = next.contains(key) || self.slots.phase(key).is_some();
            is_under_way || (wish.failed > 0 && is_waited_for())
        };
        let wishes = self.loads.wishes.iter();
        let dropped: Vec<AdapterKey> = wishes
            .filter(|(key, wish)| !is_kept(key, wish))
            .map(|(key, _)| key.clone())
            .collect();
        for key in dropped {
            self.loads.wishes.remove(&key);
            // a claim that nobody comes back for would hold up the others
            self.return_permit(&key);
        }
    }

    fn advance_wish(&mut self, key: &AdapterKey, now: Instant) {
        let wish = self
            .loads
            .wishes
            .entry(key.clone())
            .or_insert_with(|| Wish::new(now));
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
                wish.permit = PermitState::Held(now + UNGIVEN_LEASE);
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

    fn permit_ask(&self, key: &AdapterKey, purpose: PermitPurpose, now: Instant) -> PermitRequest {
        let waiting = self
            .queue
            .iter()
            .filter(|w| w.adapter.as_ref() == Some(key));
        let most_urgent = waiting.min_by_key(|w| (w.priority_at(now), w.arrived));
        PermitRequest {
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
            ask: PermitRequest {
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
