//! Admission, queueing and rejection of requests.

use {
    super::{PermitMode, ReplyId, SidecarAction, SidecarControl},
    crate::{
        queue::QueuedRequest,
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

// Used for a class that the current configuration does not contain.
const UNKNOWN_CLASS_PRIORITY: u8 = 1;
const UNKNOWN_CLASS_AGE_AFTER: Duration = Duration::from_secs(5);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl SidecarControl {
    pub(super) fn on_arrived(&mut self, work: Box<WorkOrder>, now: Instant) {
        if work.reserved {
            if let Err(refusal) = self.admit_reserved(&work, now) {
                self.reject(&work.request, refusal);
                return;
            }
        } else if self.orders.contains_key(&work.request) || self.runs.contains(&work.request) {
            return;
        }
        match self.check_admission(&work, now) {
            Ok(()) => self.enqueue(work, now),
            Err(refusal) => self.reject_unstarted(&work.request, work.reserved, refusal),
        }
    }

    pub(super) fn on_reserve(&mut self, reply: ReplyId, count: u32, now: Instant) {
        let response = if self.is_leaving() {
            ReserveAnswer::Refused(self.refusal(Step::Reserve, self.leaving_reason()))
        } else {
            self.reserve(count, now)
        };
        self.actions
            .push(SidecarAction::RespondToReserve { reply, response });
    }

    pub(super) fn on_cancel(&mut self, reply: ReplyId, request: &RequestId) {
        let outcome = self.cancel(request);
        self.actions
            .push(SidecarAction::RespondToCancel { reply, outcome });
    }

    pub(super) fn on_drain(&mut self) {
        self.is_draining = true;
        self.reject_all_queued(Reason::Leaving);
    }

    /// Rejects the queued requests that would end after their deadline.
    pub(super) fn reject_late(&mut self, now: Instant) {
        for late in self.queue.remove_late(self.run_time_per_token(), now) {
            let refusal = self.refusal(Step::Queue, Reason::DeadlinePassed);
            self.reject_queued(&late.request, refusal);
        }
    }

    pub(super) fn reject_all_queued(&mut self, reason: Reason) {
        for queued in self.queue.drain() {
            let refusal = self.refusal(Step::Queue, reason);
            self.reject_queued(&queued.request, refusal);
        }
    }

    /// Rejects a request that was removed from the queue.
    pub(super) fn reject_queued(&mut self, request: &RequestId, refusal: Refusal) {
        let reserved = self.orders.remove(request).is_some_and(|o| o.reserved);
        self.reject_unstarted(request, reserved, refusal);
    }

    pub(super) fn refusal(&self, step: Step, reason: Reason) -> Refusal {
        Refusal::not_run(step, &self.settings.name, reason)
    }

    pub(super) fn reject(&mut self, request: &RequestId, refusal: Refusal) {
        self.actions.push(SidecarAction::Reject {
            request: request.clone(),
            refusal,
        });
    }

    /// Rejects a request that has not started. A reserved id is cancelled first, so that no
    /// later copy of the request runs.
    fn reject_unstarted(&mut self, request: &RequestId, reserved: bool, mut refusal: Refusal) {
        if reserved {
            refusal.outcome = match request.parse::<ReservedId>() {
                Ok(id) => self.run_once.cancel(&id),
                Err(_) => Outcome::NotRun,
            };
        }
        self.reject(request, refusal);
    }

    fn admit_reserved(&mut self, work: &WorkOrder, now: Instant) -> Result<(), Refusal> {
        let parsed = work.request.parse::<ReservedId>();
        let id = parsed.map_err(|e| {
            let refusal = self.refusal(Step::Admission, Reason::UnknownId);
            refusal.with_detail(e.to_string())
        })?;
        match self.run_once.admit(&id, now) {
            Ok(Admission::First) => Ok(()),
            Ok(Admission::Duplicate) => Err(self.repeat_refusal(&id, now)),
            Err(e) => {
                let peer = &self.settings.name;
                let refusal = Refusal::new(e.outcome(), Step::Admission, peer, e.reason());
                Err(refusal.with_detail(e.to_string()))
            }
        }
    }

    /// Returns the refusal of a repeated request whose response is no longer buffered.
    fn repeat_refusal(&self, id: &ReservedId, now: Instant) -> Refusal {
        let outcome = match self.run_once.phase(id, now) {
            Ok(RunPhase::Completed) => Outcome::Ran,
            _ => Outcome::MayHaveRun,
        };
        let peer = &self.settings.name;
        Refusal::new(outcome, Step::Admission, peer, Reason::AnswerGone)
    }

    /// Checks whether a request can be served before its deadline.
    fn check_admission(&self, work: &WorkOrder, now: Instant) -> Result<(), Refusal> {
        if self.is_leaving() {
            return Err(self.refusal(Step::Admission, self.leaving_reason()));
        }
        if work.remaining.is_zero() {
            return Err(self.refusal(Step::Admission, Reason::DeadlinePassed));
        }
        if self.exceeds_queue_limit(work) {
            let retry_after = self.queue_retry_after();
            let refusal = self.refusal(Step::Admission, Reason::Overloaded);
            return Err(refusal.with_retry_after(retry_after));
        }
        let run_time = self.run_time_per_token() * work.work.output_tokens();
        let needed = self.expected_wait(work, now) + self.expected_load_stall(work) + run_time;
        if needed > work.remaining {
            let retry_after = (needed - work.remaining).max(MIN_RETRY_AFTER);
            let refusal = self.refusal(Step::Admission, Reason::Overloaded);
            let refusal = refusal.with_detail(format!("would take {} ms", needed.as_millis()));
            return Err(refusal.with_retry_after(retry_after));
        }
        Ok(())
    }

    fn leaving_reason(&self) -> Reason {
        match self.fence.is_superseded() {
            true => Reason::Superseded,
            false => Reason::Leaving,
        }
    }

    /// Returns whether the request exceeds the limit of queued tokens. A full queue still
    /// accepts requests of a group that uses less than its fair share of the limit.
    fn exceeds_queue_limit(&self, work: &WorkOrder) -> bool {
        let limit = self.policy.max_queued_tokens;
        let tokens = work.work.tokens();
        if self.queue.tokens() + tokens <= limit {
            return false;
        }
        let fair_share = self.queue.fraction_among_queued(&work.group) * limit as f64;
        let group_tokens = self.queue.group_tokens(&work.group) + tokens;
        group_tokens as f64 > fair_share
    }

    /// Returns the time until the requests ahead are served: those of the group at its fair
    /// share of the throughput, but no longer than for all requests at the full throughput.
    fn expected_wait(&self, work: &WorkOrder, now: Instant) -> Duration {
        let priority = self.class(work).priority;
        let ahead = self.queue.iter().filter(|w| w.priority_at(now) <= priority);
        let (all, group) = ahead.fold((0u64, 0u64), |(all, group), w| {
            let is_same_group = w.group == work.group;
            (
                all + w.tokens,
                group + if is_same_group { w.tokens } else { 0 },
            )
        });
        let group_at_share = group as f64 / self.queue.fraction_among_queued(&work.group);
        self.time_for_tokens(group_at_share.min(all as f64))
    }

    fn expected_load_stall(&self, work: &WorkOrder) -> Duration {
        match &work.work {
            Work::Generate(work) => self.expected_stall(&AdapterKey::from(work)),
            Work::Call(_) => Duration::ZERO,
        }
    }

    /// Returns the measured time per token. Zero before the first measurement and while
    /// nothing runs: otherwise one slow run would reject all requests, and no later run
    /// would correct the measurement.
    fn run_time_per_token(&self) -> Duration {
        let measured = self.runs.measured_token_time();
        let measured = measured.filter(|_| self.runs.len() > 0);
        measured.unwrap_or(Duration::ZERO)
    }

    /// Returns the time until half of the queued tokens are served.
    fn queue_retry_after(&self) -> Duration {
        let time = self.time_for_tokens(self.queue.tokens() as f64 / 2.0);
        time.max(MIN_RETRY_AFTER)
    }

    fn time_for_tokens(&self, tokens: f64) -> Duration {
        let concurrency = f64::from(self.max_running.max(1));
        self.runs.token_time().mul_f64(tokens / concurrency)
    }

    /// Returns the class of a request, or a default if the configuration doesn't contain it.
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
                .record_use(key, f64::from(class.stall_cost.max(1)), now);
        }
        self.queue.push(QueuedRequest {
            request: work.request.clone(),
            group: work.group.clone(),
            priority: class.priority,
            age_after: class.age_after(),
            arrived: now,
            deadline: now + work.remaining,
            tokens: work.work.tokens(),
            max_output_tokens: work.work.output_tokens(),
            adapter,
            overtaken: 0,
            head_since: None,
        });
        if self.settings.permits == PermitMode::Issued {
            self.loads.set_issuer(work.permit_giver);
        }
        self.orders.insert(work.request.clone(), work);
    }

    fn reserve(&mut self, count: u32, now: Instant) -> ReserveAnswer {
        let rng = &mut self.rng;
        match self.run_once.reserve(count, now, || rng.next_u64()) {
            Ok(ids) => ReserveAnswer::Reserved {
                ids: ids.iter().map(ReservedId::to_string).collect(),
                valid_for: self.run_once.valid_for(),
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
            self.reject_queued(request, refusal);
        }
        if self.runs.contains(request) {
            self.actions.push(SidecarAction::StopRun {
                request: request.clone(),
            });
        }
        match reserved {
            Some(id) => self.run_once.cancel(&id),
            None if self.runs.contains(request) => Outcome::MayHaveRun,
            None => Outcome::NotRun,
        }
    }
}
