//! requests on their way in, and out without a run

use {
    super::{PermitMode, SidecarAction, SidecarControl, Ticket},
    crate::{
        queue::Waiting,
        run_once::{Admission, RunPhase},
        slots::AdapterKey,
    },
    chalkcart_protocol::peer::{Outcome, Reason, Refusal, ReserveAnswer, Step, Work, WorkOrder},
    chalkcart_state::{
        config::Class,
        ids::{RequestId, ReservedId},
    },
    rand::Rng,
    std::time::{Duration, Instant},
};

/// what a class is taken for while the configuration that names it has not
/// arrived
const UNKNOWN_CLASS_PRIORITY: u8 = 1;
const UNKNOWN_CLASS_AGE_AFTER: Duration = Duration::from_secs(5);
/// shortest time that a refused caller is told to stay away
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl SidecarControl {
    pub(super) fn on_arrived(&mut self, work: Box<WorkOrder>, now: Instant) {
        if work.reserved {
            if let Err(refusal) = self.admit_reserved(&work, now) {
                self.push_refusal(&work.request, refusal);
                return;
            }
        } else if self.orders.contains_key(&work.request) || self.runs.contains(&work.request) {
            return;
        }
        match self.judge(&work, now) {
            Ok(()) => self.enqueue(work, now),
            Err(refusal) => self.refuse_unstarted(&work.request, work.reserved, refusal),
        }
    }

    pub(super) fn on_reserve(&mut self, ticket: Ticket, count: u32, now: Instant) {
        let answer = if self.is_leaving() {
            ReserveAnswer::Refused(self.refusal(Step::Reserve, self.leaving_reason()))
        } else {
            self.reserve(count, now)
        };
        self.actions
            .push(SidecarAction::AnswerReserve { ticket, answer });
    }

    pub(super) fn on_cancel(&mut self, ticket: Ticket, request: &RequestId) {
        let outcome = self.cancel(request);
        self.actions
            .push(SidecarAction::AnswerCancel { ticket, outcome });
    }

    pub(super) fn on_drain(&mut self) {
        self.draining = true;
        self.refuse_all_waiting(Reason::Leaving);
    }

    pub(super) fn refuse_late(&mut self, now: Instant) {
        for waiting in self.queue.remove_late(self.run_time_per_token(), now) {
            let refusal = self.refusal(Step::Queue, Reason::DeadlinePassed);
            self.refuse_waiting(&waiting.request, refusal);
        }
    }

    pub(super) fn refuse_all_waiting(&mut self, reason: Reason) {
        for waiting in self.queue.drain() {
            let refusal = self.refusal(Step::Queue, reason);
            self.refuse_waiting(&waiting.request, refusal);
        }
    }

    /// refuse a request that was taken out of the queue
    pub(super) fn refuse_waiting(&mut self, request: &RequestId, refusal: Refusal) {
        let reserved = self.orders.remove(request).is_some_and(|o| o.reserved);
        self.refuse_unstarted(request, reserved, refusal);
    }

    pub(super) fn refusal(&self, step: Step, reason: Reason) -> Refusal {
        Refusal::not_run(step, &self.settings.name, reason)
    }

    pub(super) fn push_refusal(&mut self, request: &RequestId, refusal: Refusal) {
        self.actions.push(SidecarAction::Refuse {
            request: request.clone(),
            refusal,
        });
    }

    /// refuse a request that has not started; a reserved id is sealed first,
    /// so that no later copy runs
    fn refuse_unstarted(&mut self, request: &RequestId, reserved: bool, mut refusal: Refusal) {
        if reserved {
            refusal.outcome = match request.parse::<ReservedId>() {
                Ok(id) => self.once.cancel(&id),
                Err(_) => Outcome::NotRun,
            };
        }
        self.push_refusal(request, refusal);
    }

    fn admit_reserved(&mut self, work: &WorkOrder, now: Instant) -> Result<(), Refusal> {
        let parsed = work.request.parse::<ReservedId>();
        let id = parsed.map_err(|e| {
            let refusal = self.refusal(Step::Admission, Reason::UnknownId);
            refusal.with_detail(e.to_string())
        })?;
        match self.once.admit(&id, now) {
            Ok(Admission::First) => Ok(()),
            Ok(Admission::Duplicate) => Err(self.refuse_repeat(&id, now)),
            Err(e) => {
                let peer = &self.settings.name;
                let refusal = Refusal::new(e.outcome(), Step::Admission, peer, e.reason());
                Err(refusal.with_detail(e.to_string()))
            }
        }
    }

    /// a copy came after the first one's answer was dropped
    fn refuse_repeat(&self, id: &ReservedId, now: Instant) -> Refusal {
        let outcome = match self.once.phase(id, now) {
            Ok(RunPhase::Completed) => Outcome::Ran,
            _ => Outcome::MayHaveRun,
        };
        let peer = &self.settings.name;
        Refusal::new(outcome, Step::Admission, peer, Reason::AnswerGone)
    }

    /// refuse early what would not be served in time
    fn judge(&self, work: &WorkOrder, now: Instant) -> Result<(), Refusal> {
        if self.is_leaving() {
            return Err(self.refusal(Step::Admission, self.leaving_reason()));
        }
        if work.remaining.is_zero() {
            return Err(self.refusal(Step::Admission, Reason::DeadlinePassed));
        }
        if self.is_over_bound(work) {
            let after = self.time_to_drain();
            let refusal = self.refusal(Step::Admission, Reason::Overloaded);
            return Err(refusal.with_retry_after(after));
        }
        let run = self.run_time_per_token() * work.work.output_tokens();
        let needed = self.expected_wait(work, now) + self.stall_of(work) + run;
        if needed > work.remaining {
            let after = (needed - work.remaining).max(MIN_RETRY_AFTER);
            let refusal = self.refusal(Step::Admission, Reason::Overloaded);
            let refusal = refusal.with_detail(format!("would take {} ms", needed.as_millis()));
            return Err(refusal.with_retry_after(after));
        }
        Ok(())
    }

    fn leaving_reason(&self) -> Reason {
        match self.fence.is_superseded() {
            true => Reason::Superseded,
            false => Reason::Leaving,
        }
    }

    /// over the bound, a group keeps what is its fair part of it
    fn is_over_bound(&self, work: &WorkOrder) -> bool {
        let bound = self.policy.max_queued_tokens;
        let tokens = work.work.tokens();
        if self.queue.tokens() + tokens <= bound {
            return false;
        }
        let fair = self.queue.fair_part(&work.group) * bound as f64;
        let of_group = self.queue.group_tokens(&work.group) + tokens;
        of_group as f64 > fair
    }

    /// wait for those that go before, at the group's part of the throughput
    fn expected_wait(&self, work: &WorkOrder, now: Instant) -> Duration {
        let priority = self.class(work).priority;
        let before = self.queue.iter().filter(|w| w.priority_at(now) <= priority);
        let (all, own) = before.fold((0u64, 0u64), |(all, own), w| {
            let is_own = w.group == work.group;
            (all + w.tokens, own + if is_own { w.tokens } else { 0 })
        });
        let own_pace = own as f64 / self.queue.fair_part(&work.group);
        self.time_for(own_pace.min(all as f64))
    }

    fn stall_of(&self, work: &WorkOrder) -> Duration {
        match &work.work {
            Work::Generate(work) => self.expected_stall(&AdapterKey::from(work)),
            Work::Call(_) => Duration::ZERO,
        }
    }

    /// zero until a run was measured, and while nothing runs: a bad
    /// measurement must not keep the next one from being made
    fn run_time_per_token(&self) -> Duration {
        let measured = self.runs.measured_token_time();
        let measured = measured.filter(|_| self.runs.len() > 0);
        measured.unwrap_or(Duration::ZERO)
    }

    fn time_to_drain(&self) -> Duration {
        let time = self.time_for(self.queue.tokens() as f64 / 2.0);
        time.max(MIN_RETRY_AFTER)
    }

    fn time_for(&self, tokens: f64) -> Duration {
        let at_once = f64::from(self.max_running.max(1));
        self.runs.token_time().mul_f64(tokens / at_once)
    }

    pub(super) fn class(&self, work: &WorkOrder) -> Class {
        let classes = self.root.iter().flat_map(|r| r.classes.iter());
        let found = classes.into_iter().find(|c| c.name == work.class);
        found.cloned().unwrap_or_else(|| Class {
            name: work.class.clone(),
            priority: UNKNOWN_CLASS_PRIORITY,
            timeout_ms: work.remaining.as_millis() as u64,
            age_after_ms: UNKNOWN_CLASS_AGE_AFTER.as_millis() as u64,
            stall_cost: 1,
        })
    }

    fn enqueue(&mut self, work: Box<WorkOrder>, now: Instant) {
        let class = self.class(&work);
        let adapter = match &work.work {
            Work::Generate(work) => Some(AdapterKey::from(work)),
            Work::Call(_) => None,
        };
        if let Some(key) = &adapter {
            self.slots
                .touch(key, f64::from(class.stall_cost.max(1)), now);
        }
        self.queue.push(Waiting {
            request: work.request.clone(),
            group: work.group.clone(),
            priority: class.priority,
            age_after: class.age_after(),
            arrived: now,
            deadline: now + work.remaining,
            tokens: work.work.tokens(),
            output_tokens: work.work.output_tokens(),
            adapter,
            overtaken: 0,
            head_since: None,
        });
        if self.settings.permits == PermitMode::Given {
            self.loads.on_giver(work.permit_giver);
        }
        self.orders.insert(work.request.clone(), work);
    }

    fn reserve(&mut self, count: u32, now: Instant) -> ReserveAnswer {
        let rng = &mut self.rng;
        match self.once.reserve(count, now, || rng.next_u64()) {
            Ok(ids) => ReserveAnswer::Reserved {
                ids: ids.iter().map(ReservedId::to_string).collect(),
                valid_for: self.once.valid_for(),
            },
            Err(e) => {
                let mut refusal = self.refusal(Step::Reserve, e.reason());
                refusal.retry_after = e.retry_after();
                ReserveAnswer::Refused(refusal.with_detail(e.to_string()))
            }
        }
    }

    fn cancel(&mut self, request: &RequestId) -> Outcome {
        let reserved = request.parse::<ReservedId>().ok();
        if self.queue.remove(request).is_some() {
            let refusal = self.refusal(Step::Queue, Reason::Cancelled);
            self.refuse_waiting(request, refusal);
        }
        if self.runs.contains(request) {
            self.actions.push(SidecarAction::StopRun {
                request: request.clone(),
            });
        }
        match reserved {
            Some(id) => self.once.cancel(&id),
            None if self.runs.contains(request) => Outcome::MayHaveRun,
            None => Outcome::NotRun,
        }
    }
}
