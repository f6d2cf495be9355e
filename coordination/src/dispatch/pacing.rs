//! Chooses engines for requests with a gap objective, so that prefill doesn't delay the streams
//! that run there.

use {
    super::{
        choice::{Choice, PacedChoice},
        dispatcher::Dispatcher,
        holders::holders_of_model,
        homes::load_candidates,
        turn_wait::TurnWait,
        BackendState, DispatchRequest, Ticket,
    },
    crate::{
        placement::adapter_hash,
        stream_pacing::{
            EngineLoad, Forecast, PacingInputs, PacingOutcome, ShortestRun, StreamObjectives,
        },
    },
    chalkcart_state::backends::{AdapterRef, BackendId},
    std::time::{Duration, Instant},
};

/// Cost of each expected event of a stream at an engine that needs protection, in ms: the turns
/// of prompts keep the pauses there only as far as all entries know each other's sends.
const EXPOSED_EVENT_COST_MS: f64 = 1.0;
/// Cost of each stream that a prompt would make late, in ms, and its maximum. It is compared
/// with the time to reload an adapter elsewhere, some tens of ms.
const LOST_STREAM_COST_MS: f64 = 100.0;
const MAX_LOSS_COST_MS: f64 = 1_000.0;
/// Loss in streams from which a prompt has its adapter loaded elsewhere: five late streams. A load
/// evicts another adapter and is paid for.
const MIN_LOSS_FOR_LOAD: f64 = 3.5;
/// Interval at which waiting turns are checked at most; every event may come sooner.
const TURN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// An engine and what is expected of the request there.
struct PacedOption<'b> {
    state: &'b BackendState,
    forecast: Forecast,
    inputs: PacingInputs,
    cost: f64,
}

impl Dispatcher {
    /// Returns what the request needs; `None` if no gap objective applies to it.
    fn stream_objectives(
        &self,
        request: &DispatchRequest,
        now: Instant,
    ) -> Option<StreamObjectives> {
        let gap = request.target_gap?;
        if !self.settings.features.stream_pacing || request.prompt_tokens == 0 {
            return None;
        }
        let waited = now.saturating_duration_since(request.arrived_at);
        Some(StreamObjectives {
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.expected_output_tokens,
            first_event_in: request.target_latency.saturating_sub(waited),
            gap,
            deadline_in: request.deadline.saturating_duration_since(now),
        })
    }

    /// Returns the work of an engine; `None` if its performance is unknown.
    fn engine_load<'b>(&self, state: &'b BackendState, now: Instant) -> Option<EngineLoad<'b>> {
        let performance = self.performance(state)?;
        let rate = performance.prefill_tokens_per_ms;
        let typical = self.typical_prompt_tokens(&state.listed.service);
        (rate > 0.0 && performance.event_interval_ms > 0.0).then(|| EngineLoad {
            performance,
            is_measured: state.measured_performance(now).is_some(),
            pending_tokens: state.pending_prompt_tokens(rate, typical, now),
            running: state.occupied(now),
            view_age: state.view_age(now),
            window: &state.prefill_window,
        })
    }

    /// Chooses among engines that could take the request now: the cheapest one where all
    /// objectives hold, else a wait that keeps them, else the engine with the least loss.
    /// Returns `None` if no gap objective applies or the performance is unknown.
    pub(super) fn choose_paced<'b>(
        &self,
        request: &DispatchRequest,
        accepting: &[&'b BackendState],
        now: Instant,
    ) -> Option<PacedChoice<'b>> {
        let objectives = self.stream_objectives(request, now)?;
        let mut options = Vec::with_capacity(accepting.len());
        for state in accepting.iter().copied() {
            let load = self.engine_load(state, now)?;
            let forecast = Forecast::new(&load, &objectives, &self.settings.pacing, now);
            let outcome = match forecast.holds(&objectives) {
                true => PacingOutcome::Holds,
                false => PacingOutcome::LeastLoss,
            };
            options.push(PacedOption {
                state,
                inputs: PacingInputs::new(outcome, &load, &forecast, &objectives),
                cost: self.cost(state, now) + self.exposure_ms(&forecast, &objectives),
                forecast,
            });
        }
        let holding = options.iter().filter(|o| o.forecast.holds(&objectives));
        if let Some(best) = holding.min_by(|a, b| a.cost.total_cmp(&b.cost)) {
            return Some(PacedChoice::Send(best.state, best.inputs));
        }
        let waits = options
            .iter()
            .filter_map(|o| Some((o.forecast.worthwhile_wait(&objectives)?, o)));
        if let Some((wait, option)) = waits.min_by_key(|(wait, _)| *wait) {
            return Some(PacedChoice::Wait(TurnWait {
                digest: request.digest,
                backend: option.state.listed.id.clone(),
                since: now,
                until: now + wait,
                inputs: PacingInputs {
                    outcome: PacingOutcome::Waits,
                    ..option.inputs
                },
            }));
        }
        let best = options.iter().min_by(|a, b| {
            let loss = |o: &PacedOption| o.forecast.loss(&objectives);
            let by_loss = loss(a).total_cmp(&loss(b));
            by_loss.then_with(|| a.cost.total_cmp(&b.cost))
        })?;
        Some(PacedChoice::Send(best.state, best.inputs))
    }

    /// Returns an engine that could load the adapter of a prompt which makes several streams late
    /// at its holders, and where all objectives would hold after the load.
    pub(super) fn load_target_for_pauses(
        &self,
        request: &DispatchRequest,
        adapter: &AdapterRef,
        holders: &[&BackendState],
        candidates: &[&BackendState],
        choice: &Choice,
        now: Instant,
    ) -> Option<BackendId> {
        let Choice::Send(assignment) = choice else {
            return None;
        };
        let pacing = assignment.inputs.pacing?;
        let is_loss_large = pacing.own_loss >= 1.0 || pacing.running_loss >= MIN_LOSS_FOR_LOAD;
        // requests that wait for anything but a turn need the adapter slots themselves
        let are_slots_short = self.waiting.len() > self.turn_waits.len();
        if pacing.outcome != PacingOutcome::LeastLoss || !is_loss_large || are_slots_short {
            return None;
        }
        let objectives = self.stream_objectives(request, now)?;
        let holds_after_load = |state: &BackendState| {
            let Some(load) = self.engine_load(state, now) else {
                return false;
            };
            let forecast = Forecast::new(&load, &objectives, &self.settings.pacing, now);
            let load_time = load_time(state, adapter, now);
            forecast.turn_in.is_some_and(|turn| turn <= load_time)
                && forecast.holds_after(load_time, &objectives)
        };
        let is_holder = |b: &BackendState| holders.iter().any(|h| h.listed.id == b.listed.id);
        let others: Vec<&BackendState> = load_candidates(candidates, adapter)
            .into_iter()
            .filter(|b| !is_holder(b) && b.can_accept(now) && holds_after_load(b))
            .collect();
        let is_requested = |b: &&&BackendState| {
            self.is_load_pending(adapter, std::slice::from_ref(&b.listed.id), now)
        };
        let requested = others.iter().find(is_requested).copied();
        let target = requested.or_else(|| {
            self.rank_homes(adapter, &others, false, now)
                .first()
                .copied()
        });
        target.map(|b| b.listed.id.clone())
    }

    /// Returns the cost of the pauses that a stream may see during its run, in ms.
    fn exposure_ms(&self, forecast: &Forecast, objectives: &StreamObjectives) -> f64 {
        let events = f64::from(objectives.output_tokens) / self.settings.pacing.tokens_per_event;
        match forecast.tokens_per_gap {
            Some(_) => events * EXPOSED_EVENT_COST_MS,
            None => 0.0,
        }
    }

    /// Returns the cost of a back end for this request, in ms: also its wait for a turn, or the
    /// streams that it would make late.
    pub(super) fn cost_for(
        &self,
        request: &DispatchRequest,
        state: &BackendState,
        now: Instant,
    ) -> f64 {
        let cost = self.cost(state, now);
        let Some(objectives) = self.stream_objectives(request, now) else {
            return cost;
        };
        let Some(load) = self.engine_load(state, now) else {
            return cost;
        };
        let forecast = Forecast::new(&load, &objectives, &self.settings.pacing, now);
        let delay_ms = match forecast.worthwhile_wait(&objectives) {
            Some(wait) => wait.as_secs_f64() * 1e3,
            None => (forecast.loss(&objectives) * LOST_STREAM_COST_MS).min(MAX_LOSS_COST_MS),
        };
        cost + delay_ms + self.exposure_ms(&forecast, &objectives)
    }

    /// Returns the time until an engine could complete the request within its deadline, and
    /// what is known of the engine that would end it first. Returns `None` if an engine could
    /// complete it in time as it is, or if that is unknown for any engine.
    pub(super) fn missed_deadline(
        &self,
        request: &DispatchRequest,
        now: Instant,
    ) -> Option<(Duration, PacingInputs)> {
        // after a send the output that is still to come is unknown
        if request.send_count > 0 {
            return None;
        }
        let objectives = self.stream_objectives(request, now)?;
        let timeout = request
            .deadline
            .saturating_duration_since(request.arrived_at);
        let listed = self.backends.values().filter(|b| {
            b.listed.service == request.service && b.may_receive_requests() && !b.is_unlisted
        });
        let allowed: Vec<&BackendState> = listed
            .filter(|b| !request.tried_backends.contains(&b.listed.id))
            .filter(|b| !self.evacuated_zones.contains(&b.listed.zone))
            .filter(|b| self.is_allowed(request, b))
            .collect();
        let able = match (&request.adapter, &request.model) {
            (Some(adapter), _) => load_candidates(&allowed, adapter),
            (None, Some(model)) => holders_of_model(&allowed, model),
            (None, None) => allowed,
        };
        // with a holder the request is sent there rather than wait for a slot elsewhere
        let may_run = |b: &BackendState, adapter: &AdapterRef| {
            b.held_version(adapter, now).is_some() || b.is_loading(adapter)
        };
        let adapter = request.adapter.as_ref();
        let has_holder = adapter.is_some_and(|a| able.iter().any(|b| may_run(b, a)));
        let able = able.into_iter().filter(|b| {
            !has_holder || b.spare_slots() > 0 || adapter.is_none_or(|a| may_run(b, a))
        });
        let mut retry_after: Option<Duration> = None;
        let mut earliest: Option<(Duration, EngineLoad)> = None;
        for state in able {
            state.measured_performance(now)?;
            let load = self.engine_load(state, now)?;
            let backoff = state.backoff.remaining(now).unwrap_or_default();
            let load_time = request.adapter.as_ref().map(|a| load_time(state, a, now));
            let run = ShortestRun::new(
                &load.performance,
                load.pending_tokens,
                backoff.max(load_time.unwrap_or_default()),
                &objectives,
                &self.settings.pacing,
            )?;
            if run.earliest_end <= objectives.deadline_in {
                return None;
            }
            let fits_in = run.fits_in(timeout);
            retry_after = Some(retry_after.map_or(fits_in, |known| known.min(fits_in)));
            let end = run.wait + run.run;
            if earliest.as_ref().is_none_or(|(known, _)| end < *known) {
                earliest = Some((end, load));
            }
        }
        let (end, load) = earliest?;
        let forecast = Forecast::new(&load, &objectives, &self.settings.pacing, now);
        let inputs = PacingInputs {
            end_ms: Some(end.as_secs_f64() * 1e3),
            ..PacingInputs::new(PacingOutcome::MissesDeadline, &load, &forecast, &objectives)
        };
        Some((retry_after?, inputs))
    }

    /// Records that a request waits for its turn. A wait that began earlier goes on.
    pub(super) fn wait_for_turn(
        &mut self,
        ticket: Ticket,
        request: DispatchRequest,
        wait: TurnWait,
        began: Option<Instant>,
    ) {
        match began {
            Some(began) => {
                let wait = TurnWait {
                    since: began,
                    ..wait
                };
                self.turn_waits.insert(ticket, wait);
            }
            None => {
                self.new_turn_waits.push((ticket, wait.clone()));
                self.turn_waits.insert(ticket, wait);
            }
        }
        self.waiting.insert(ticket, request);
    }

    /// Sends the requests whose turn has come. Runs at every event, since no tick comes while
    /// other events are frequent.
    pub(super) fn refresh_turns(&mut self, now: Instant) {
        let is_due = self.turn_waits.values().any(|wait| wait.until <= now);
        let is_recent = self
            .turns_checked_at
            .is_some_and(|at| now.saturating_duration_since(at) < TURN_CHECK_INTERVAL);
        if is_due && !is_recent {
            self.dispatch_turns(|wait| wait.until <= now, now);
        }
    }

    /// Checks the turns at an engine after a report of its sidecar.
    pub(super) fn refresh_turns_at(&mut self, backend: &BackendId, now: Instant) {
        let mut waits = self.turn_waits.values();
        if waits.any(|wait| wait.backend == *backend) {
            self.dispatch_turns(|wait| wait.backend == *backend, now);
        }
    }

    fn dispatch_turns(&mut self, is_affected: impl Fn(&TurnWait) -> bool, now: Instant) {
        self.turns_checked_at = Some(now);
        let affected = self.turn_waits.iter().filter(|(_, w)| is_affected(w));
        let tickets = affected.map(|(ticket, _)| *ticket).collect();
        self.dispatch_tickets(self.waiting.in_order(tickets), now);
    }

    /// Returns the waits for turns that began since the last call, for logs.
    pub fn take_turn_waits(&mut self) -> Vec<(Ticket, TurnWait)> {
        std::mem::take(&mut self.new_turn_waits)
    }
}

/// Returns the expected time to load an adapter at an engine; zero if it holds the adapter.
fn load_time(state: &BackendState, adapter: &AdapterRef, now: Instant) -> Duration {
    let Some(view) = state.view.as_ref() else {
        return Duration::ZERO;
    };
    if state.held_version(adapter, now).is_some() || view.loading.contains(adapter) {
        return Duration::ZERO;
    }
    let load_ms = match state.has_recently_held(adapter_hash(adapter)) {
        true => view.figures.next_return_ms,
        false => view.figures.next_load_ms,
    };
    Duration::from_millis(u64::from(load_ms))
}
