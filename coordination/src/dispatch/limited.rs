//! back ends that name how many requests they take

use {
    super::dispatcher::Dispatcher,
    crate::{
        intake::{NamedLimit, Sharers},
        own_word::{LimitWord, RequestRate},
    },
    chalkcart_protocol::peer::{AdmissionReport, AdmissionResponse, EngineStats},
    chalkcart_state::backends::BackendId,
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time between two looks at all limits: with a thousand limited engines each costs as much as
/// many decisions.
const SHARED_EVERY: Duration = Duration::from_millis(25);

/// why a dealer of permits has not answered
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoDeal {
    /// it is of a build that deals out nothing
    Unknowing,
    Silent,
}

/// a question to the dealer beside an engine
#[derive(Debug, Clone, PartialEq)]
pub struct IntakeQuestion {
    pub engine: SocketAddr,
    pub report: AdmissionReport,
    pub asked: Instant,
}

impl Dispatcher {
    /// an answer to a request that was sent then says this of a limit
    pub(super) fn on_limit_word(
        &mut self,
        backend: &BackendId,
        (word, sent): (LimitWord, Instant),
        now: Instant,
    ) {
        self.change_limit(backend, now, |limit, sharers| {
            limit.on_word(word, sent, sharers, now);
        });
    }

    /// the sidecar of an engine says what limit it names
    pub(super) fn on_limit_told(
        &mut self,
        backend: &BackendId,
        figures: &EngineStats,
        now: Instant,
    ) {
        let told = figures.limit_milli_per_s.map(RequestRate::of_milli);
        if told.is_none() && !self.limited.contains(backend) {
            return;
        }
        self.change_limit(backend, now, |limit, sharers| {
            limit.on_told(told, sharers, now);
        });
    }

    /// the dealer beside an engine has answered, or has not
    pub(super) fn on_dealt(
        &mut self,
        backend: &BackendId,
        asked: Instant,
        answer: Result<AdmissionResponse, NoDeal>,
        now: Instant,
    ) {
        self.change_limit(backend, now, |limit, sharers| match &answer {
            Ok(answer) if answer.backend == *backend => {
                limit.on_dealt(answer, asked, sharers, now);
            }
            // it speaks of another life, which may be the next one of the engine
            Ok(_) => limit.on_no_deal(false, now),
            Err(cause) => limit.on_no_deal(*cause == NoDeal::Unknowing, now),
        });
    }

    fn change_limit(
        &mut self,
        backend: &BackendId,
        now: Instant,
        change: impl FnOnce(&mut NamedLimit, Sharers),
    ) {
        let sharers = self.sharers_of(backend, now);
        let (Some(sharers), Some(state)) = (sharers, self.backends.get_mut(backend)) else {
            return;
        };
        change(&mut state.limit, sharers);
        match state.limit.named() {
            Some(_) => self.limited.insert(backend.clone()),
            // its dealer must hear that it is over
            None if state.limit.is_question_due(now) => self.limited.insert(backend.clone()),
            None => self.limited.remove(backend),
        };
    }

    /// While back ends name limits: share them anew, and see what waits for them. Ticks do not
    /// do, since none comes while other events come more often.
    pub(super) fn look_at_limits(&mut self, now: Instant) {
        let is_early = self
            .limits_shared
            .is_some_and(|at| now.saturating_duration_since(at) < SHARED_EVERY);
        if self.limited.is_empty() || is_early {
            return;
        }
        self.limits_shared = Some(now);
        self.share_limits(now);
        let waiting = self.serve_waiting(|_| true, now);
        self.note_wanted(&waiting, true);
    }

    /// the entries that share limits may be more or fewer
    fn share_limits(&mut self, now: Instant) {
        self.limited.retain(|id| self.backends.contains_key(id));
        for id in self.limited.clone() {
            let sharers = self.sharers_of(&id, now);
            if let (Some(sharers), Some(state)) = (sharers, self.backends.get_mut(&id)) {
                state.limit.share_among(sharers, now);
            }
        }
    }

    fn sharers_of(&self, backend: &BackendId, now: Instant) -> Option<Sharers> {
        let state = self.backends.get(backend)?;
        let service = self.table.services.get(&state.listed.service);
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let entries = self.sharing_entries(now);
        Some(state.sharers(&self.settings.entry, entries, is_engine))
    }

    /// so many requests wait for each limited back end
    pub(super) fn note_wanted(&mut self, waiting: &HashMap<BackendId, (u32, u8)>, is_whole: bool) {
        for id in &self.limited {
            let Some(state) = self.backends.get_mut(id) else {
                continue;
            };
            match waiting.get(id) {
                Some((wanted, priority)) => state.limit.set_wanted(*wanted, *priority),
                None if is_whole => state.limit.set_wanted(0, 0),
                None => {}
            }
        }
    }

    /// what the dealers beside limited engines should be asked now
    pub fn intake_questions(&mut self, now: Instant) -> Vec<IntakeQuestion> {
        let mut questions = Vec::new();
        let mut done = Vec::new();
        for id in &self.limited {
            let Some(state) = self.backends.get_mut(id) else {
                continue;
            };
            if !state.limit.is_question_due(now) {
                continue;
            }
            let (wanted, priority) = state.limit.wanted();
            let (news, unused) = state.limit.on_asked(now);
            if state.limit.named().is_none() {
                done.push(id.clone());
            }
            questions.push(IntakeQuestion {
                engine: state.listed.addr,
                report: AdmissionReport {
                    entry: self.settings.entry.clone(),
                    backend: id.clone(),
                    named: news.named,
                    freed_ago_ms: news.freed_ago_ms,
                    wanted,
                    priority,
                    unused,
                },
                asked: now,
            });
        }
        for id in done {
            self.limited.remove(&id);
        }
        questions
    }
}
