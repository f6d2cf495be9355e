//! requests that are not sent now: whether they wait, or are refused and when they should come back

use {
    super::{dispatcher::Dispatcher, Ask, Basis, Decision, RefusalCause, Ticket},
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
};

/// what a request that was refused waits at least
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

impl Dispatcher {
    pub(super) fn wait_or_refuse(
        &mut self,
        ticket: Ticket,
        mut ask: Ask,
        cause: RefusalCause,
        now: Instant,
    ) {
        if matches!(cause, RefusalCause::Unheard | RefusalCause::OutsideRegions) {
            let basis = self.basis(&ask, now);
            self.on_unsent(&ask);
            let retry_after = ask.target_latency.max(MIN_RETRY_AFTER);
            self.refuse(ticket, cause, retry_after, basis);
            return;
        }
        if cause == RefusalCause::NotLoaded {
            if let Some(retry_after) = self.promise(&mut ask, now) {
                let basis = self.basis(&ask, now);
                self.refuse(ticket, RefusalCause::LoadsLater, retry_after, basis);
                return;
            }
        }
        let part = match cause {
            RefusalCause::NotLoaded | RefusalCause::Returns => self.settings.wait_for_adapter,
            RefusalCause::Unheard
            | RefusalCause::OutsideRegions
            | RefusalCause::Resting
            | RefusalCause::Limited
            | RefusalCause::Full
            | RefusalCause::NoBackend
            | RefusalCause::NoBudget
            | RefusalCause::LoadsLater => self.settings.wait_for_place,
        };
        let longest = ask.target_latency.mul_f64(part);
        let waited = now.saturating_duration_since(ask.arrived);
        let rest = match cause {
            RefusalCause::Resting => self.shortest_rest(&ask, now).unwrap_or_default(),
            _ => Duration::ZERO,
        };
        // what is not served within its wait is refused at once
        if waited + rest >= longest || now + rest >= ask.deadline {
            let retry_after = rest.max(ask.target_latency / 2);
            let basis = self.basis(&ask, now);
            self.on_unsent(&ask);
            self.refuse(ticket, cause, retry_after.max(MIN_RETRY_AFTER), basis);
        } else {
            self.waiting.put(ticket, ask);
        }
    }

    /// All that could serve a request take no more requests now: it waits if its turn comes in
    /// time. So many others go `ahead` of it at each of them.
    pub(super) fn wait_for_limited(
        &mut self,
        ticket: Ticket,
        ask: Ask,
        ahead: &mut HashMap<BackendId, (u32, u8)>,
        now: Instant,
    ) {
        let Some((backend, opens_in)) = self.first_to_open(&ask, ahead, now) else {
            self.wait_or_refuse(ticket, ask, RefusalCause::Full, now);
            return;
        };
        let longest = ask.target_latency.mul_f64(self.settings.wait_for_place);
        let waited = now.saturating_duration_since(ask.arrived);
        if waited + opens_in < longest && now + opens_in < ask.deadline {
            let waiting = ahead.entry(backend).or_insert((0, ask.priority));
            waiting.0 += 1;
            waiting.1 = waiting.1.min(ask.priority);
            self.waiting.put(ticket, ask);
            return;
        }
        let returns_in = self.backends.get_mut(&backend);
        let returns_in = returns_in.map_or(opens_in, |b| b.limit.next_retry_after(now));
        let basis = self.basis(&ask, now);
        self.on_unsent(&ask);
        let retry_after = returns_in.max(MIN_RETRY_AFTER);
        self.refuse(ticket, RefusalCause::Limited, retry_after, basis);
    }

    /// a request has waited and is not sent
    pub(super) fn on_unsent(&mut self, ask: &Ask) {
        self.turns.on_left(ask.account, ask.prompt_tokens);
        if ask.sends > 0 {
            if let Some(budget) = self.budgets.get_mut(&ask.service) {
                budget.give_back();
            }
        }
    }

    pub(super) fn refuse(
        &mut self,
        ticket: Ticket,
        cause: RefusalCause,
        retry_after: Duration,
        basis: Basis,
    ) {
        let decision = Decision::Refuse {
            cause,
            retry_after,
            basis,
        };
        self.decided.push((ticket, decision));
    }
}
