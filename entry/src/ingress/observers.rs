use {
    super::{
        control::ControlHandle,
        response_end_log::{count_end, BROKEN, CUT, STREAMED, WHOLE},
        run_timer::RunTimer,
        shared::Shared,
        stream_recovery::StreamRecovery,
    },
    chalkcart_coordination::{
        crashes::PartRun,
        dispatch::{DispatchEvent, SendOutcome, Ticket},
    },
    chalkcart_protocol::peer::StreamOrigin,
    chalkcart_state::{
        backends::BackendId,
        ids::RequestId,
        ingress::{RequestDigest, Route, SharedParts},
    },
    chalkcart_transport::{
        clock,
        ingress::{ProxyBodyEnd, ProxyBodyObserver, ProxyBodyReport, ResumeFuture, StreamCut},
    },
    log::Level,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Reports the end of one send to the control thread. A send whose guard is dropped without an
/// outcome counts as abandoned.
pub struct SendGuard {
    control: ControlHandle,
    ticket: Ticket,
    has_started: bool,
    has_ended: bool,
    timer: Option<RunTimer>,
}

impl SendGuard {
    pub fn new(control: ControlHandle, ticket: Ticket) -> Self {
        Self {
            control,
            ticket,
            has_started: false,
            has_ended: false,
            timer: None,
        }
    }

    /// Has the run measured.
    pub fn timed_by(mut self, timer: RunTimer) -> Self {
        self.timer = Some(timer);
        self
    }

    /// Reports that the head of a successful response arrived.
    pub fn on_head(&self) {
        let event = DispatchEvent::HeadReceived(self.ticket);
        self.control.send_event(event);
    }

    pub fn start(&mut self) {
        if !self.has_started {
            self.has_started = true;
            self.control
                .send_event(DispatchEvent::ResponseStarted(self.ticket));
        }
    }

    /// Reports the end; returns false if it was reported before.
    pub fn end(&mut self, outcome: SendOutcome) -> bool {
        if self.has_ended {
            return false;
        }
        self.has_ended = true;
        if let Some(timer) = self.timer.take() {
            timer.end(matches!(
                outcome,
                SendOutcome::Answered | SendOutcome::Closed
            ));
        }
        let ticket = self.ticket;
        self.control
            .send_event(DispatchEvent::SendEnded { ticket, outcome });
        true
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        self.end(SendOutcome::Abandoned);
    }
}

/// Reports and logs the progress of a stream that is proxied to the client.
pub struct StreamObserver {
    pub shared: Arc<Shared>,
    pub guard: SendGuard,
    pub request: RequestId,
    pub digest: RequestDigest,
    pub shared_parts: SharedParts,
    pub route: Arc<Route>,
    pub backend: BackendId,
    /// The origin of the stream until its first frame; `None` if it may not be taken up.
    pub origin: Option<StreamOrigin>,
    pub arrived: Instant,
    /// Time from the arrival of the request to the first part of the body.
    pub first_part: Option<Duration>,
    /// What the crash registry noted of the run.
    pub part_run: PartRun,
    /// Times of the first and the last frame.
    pub written: Option<(Instant, Instant)>,
    /// Present on a stream that may be resumed.
    pub recovery: Option<Box<StreamRecovery>>,
}

impl StreamObserver {
    /// Counts a run that didn't end with its engine for the parts of its prompt.
    fn count_for_parts(&mut self, outcome: SendOutcome) {
        let crashes = &self.shared.crashes;
        match (outcome, self.written) {
            (SendOutcome::Answered, _) => {
                crashes.on_parts_served(&mut self.part_run, &self.shared_parts);
            }
            (SendOutcome::Abandoned, Some((first, last))) => {
                let written = last.saturating_duration_since(first);
                crashes.on_parts_left(&mut self.part_run, &self.shared_parts, written);
            }
            _ => {}
        }
    }

    /// Reports the end of the send to the current back end, once.
    fn end_send(&mut self, outcome: SendOutcome) {
        if self.guard.end(outcome) {
            self.shared.metrics.on_send_ended(outcome.code());
        }
    }
}

impl ProxyBodyObserver for StreamObserver {
    fn on_first_frame(&mut self) {
        if self.first_part.is_none() {
            let after = clock::elapsed(self.arrived);
            self.first_part = Some(after);
            self.shared.metrics.on_first_part(&self.route.name, after);
        }
        if let Some(origin) = self.origin.take() {
            self.shared.on_stream_began(origin);
        }
        self.guard.start();
    }

    fn on_frame(&mut self, now: Instant) {
        let (first, last) = self.written.get_or_insert((now, now));
        *last = now;
        let written = now.saturating_duration_since(*first);
        let crashes = &self.shared.crashes;
        if crashes.has_parts() && !self.part_run.is_counted() {
            crashes.on_parts_progress(&mut self.part_run, &self.shared_parts, written);
        }
    }

    fn on_end(&mut self, report: ProxyBodyReport) {
        let ProxyBodyReport {
            end,
            longest_pause,
            response,
        } = report;
        let (outcome, outcome_name) = match end {
            ProxyBodyEnd::Complete => (SendOutcome::of_complete(response.framing), WHOLE),
            ProxyBodyEnd::Broken => (SendOutcome::Broken, BROKEN),
            ProxyBodyEnd::TimedOut => (SendOutcome::Abandoned, "timed_out"),
            ProxyBodyEnd::ClientDisconnected => (SendOutcome::Abandoned, "client_left"),
        };
        self.count_for_parts(outcome);
        self.end_send(outcome);
        let keep = self.shared.software_versions.memory();
        let is_whole = end == ProxyBodyEnd::Complete;
        self.shared
            .stream_origins
            .on_stream_ended(&self.request, is_whole, keep);
        self.shared
            .metrics
            .on_pause(&self.route.name, longest_pause);
        count_end(&self.shared.metrics, outcome_name, &response, STREAMED);
        let level = match end {
            ProxyBodyEnd::Complete => Level::Info,
            ProxyBodyEnd::Broken | ProxyBodyEnd::TimedOut | ProxyBodyEnd::ClientDisconnected => {
                Level::Warn
            }
        };
        log::log!(
            level,
            request = self.request.as_str(),
            digest = self.digest.to_string().as_str(),
            route = self.route.name.as_str(),
            backend = self.backend.as_str(),
            born = self.backend.start_time_ms,
            outcome = outcome_name,
            framing = response.framing.code(),
            cause = response.cause.code(),
            position = response.position_code(),
            body_bytes = response.body_bytes,
            objective_ms = self.route.target_latency.as_millis() as u64,
            first_part_ms = self.first_part.map_or(-1, |t| t.as_millis() as i64),
            longest_pause_ms = longest_pause.as_millis() as u64,
            total_ms = clock::elapsed(self.arrived).as_millis() as u64;
            "ingress: stream ended"
        );
    }

    fn resume(&mut self, cut: StreamCut) -> Option<ResumeFuture<dyn ProxyBodyObserver>> {
        let recovery = self.recovery.take()?;
        count_end(&self.shared.metrics, CUT, &cut.response, STREAMED);
        self.end_send(match cut.fault {
            None => SendOutcome::Broken,
            Some(_) => SendOutcome::Failed,
        });
        Some(ResumeFuture::new(recovery.resume(cut, self.first_part)))
    }
}

/// Withdraws a queued request from the dispatcher if it is dropped before a decision, as when the
/// client disconnects.
pub struct WaitGuard {
    control: ControlHandle,
    ticket: Ticket,
    is_decided: bool,
}

impl WaitGuard {
    pub fn new(control: ControlHandle, ticket: Ticket) -> Self {
        Self {
            control,
            ticket,
            is_decided: false,
        }
    }

    pub fn set_decided(&mut self) {
        self.is_decided = true;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.is_decided {
            return;
        }
        let ticket = self.ticket;
        self.control
            .send_event(DispatchEvent::RequestWithdrawn(ticket));
        // The dispatcher may have assigned it in the meantime.
        let outcome = SendOutcome::Abandoned;
        self.control
            .send_event(DispatchEvent::SendEnded { ticket, outcome });
    }
}
