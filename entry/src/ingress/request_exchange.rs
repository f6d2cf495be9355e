use {
    super::{
        admission::{Admission, AdmissionError},
        crash_check::BLOCKED,
        local_response::LocalResponse,
        observers::{SendGuard, WaitGuard},
        run_timer::{declined_as_stopping, RunTimer},
        service::{find_route, AcceptedRequest},
        shared::Shared,
        stream_response::StartedStream,
    },
    bytes::Bytes,
    chalkcart_coordination::{
        dispatch::{
            unread_until, Assignment, Decision, DecisionInputs, DispatchRequest, SendOutcome,
            Ticket,
        },
        response_end::EndCause,
        stream_recovery::EventId,
    },
    chalkcart_state::{ids::Generation, regions::AllowedRegions},
    chalkcart_transport::{
        backend::{connect, send_on, BackendResponse, BackendSendError},
        clock::{self, before_deadline},
        ingress::{BackendRequestHead, ClientResponse},
    },
    http::{request::Parts, Request, StatusCode},
    http_body_util::Full,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum sends of one request, including those that did not run it.
const MAX_SENDS: u32 = 4;
/// Retry-After of responses for which the dispatcher gives none.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Response text for a request whose deadline passed.
const DEADLINE_PASSED: &str = "late";

/// Response text for a request whose key was revoked while it was queued.
const KEY_REVOKED: &str = "key taken away";

/// Log value for a request that is queued again because its allowed regions changed.
pub(super) const REGIONS_CHANGED: &str = "its allowed regions changed";

/// Handles one client request: queueing, sends and retries.
pub struct RequestExchange {
    pub(super) shared: Arc<Shared>,
    pub(super) ticket: Ticket,
    pub(super) accepted: AcceptedRequest,
    pub(super) deadline: Instant,
    pub(super) request: DispatchRequest,
    /// Generation of the configuration that `request.allowed_regions` was computed from.
    regions_generation: Option<Generation>,
    /// Number of sends after which the request may have run.
    pub(super) runs: u32,
    /// Whether it is the one run that tries a request again which is blocked.
    pub(super) is_try: bool,
    /// Whether the engine of the last run has ended. The crash registry learns it later.
    pub(super) has_engine_ended: bool,
    /// The last event that the client has of a stream that is resumed.
    pub(super) last_event: Option<EventId>,
    /// The response of the last back end that failed, if it sent one.
    failure: Option<ClientResponse>,
}

/// The result of one send.
pub(super) enum SendResult {
    /// The response is complete.
    Responded(ClientResponse),
    Streaming(Box<StartedStream>),
    NotRun(SendOutcome),
    /// The request may have run; holds the back end's error response if it sent one.
    Failed(Option<ClientResponse>),
    TimedOut,
}

/// Returns whether a request is beyond its account's share of the fleet, and logs the inputs.
fn is_beyond_share(shared: &Shared, accepted: &AcceptedRequest) -> bool {
    let (Some(caller), Some(charge)) = (&accepted.caller, &accepted.charge) else {
        return false;
    };
    if !shared.settings.mechanisms.account_shares {
        return false;
    }
    let account = &caller.account;
    let units = charge.units();
    let Some(inputs) = shared.admission.beyond_share(account.fingerprint, units) else {
        return false;
    };
    shared.metrics.on_beyond_share(&account.name);
    log::info!(
        request = accepted.head.id.as_str(),
        account = account.name.as_str(),
        units = units,
        level = inputs.level.unwrap_or(f64::NAN),
        age_ms = inputs.age.map_or(-1, |age| age.as_millis() as i64),
        entries = inputs.entries;
        "ingress: beyond the account's share"
    );
    true
}

impl RequestExchange {
    pub fn new(shared: Arc<Shared>, accepted: AcceptedRequest) -> Self {
        let route = &accepted.route;
        let client_timeout = accepted.head.timeout.unwrap_or(route.timeout);
        let deadline = accepted.arrived + client_timeout.min(route.timeout);
        let service = route.pick_service(rand::random());
        let request = DispatchRequest {
            digest: accepted.digest,
            shared_parts: accepted.head.shared_parts.clone(),
            is_crash_suspect: false,
            has_progress: false,
            service: service.cloned().unwrap_or_default(),
            model: accepted.head.model.clone(),
            adapter: accepted.head.adapter.clone(),
            prompt_tokens: accepted.head.prompt_tokens,
            expected_output_tokens: accepted.head.response_tokens(),
            account: accepted.caller.as_ref().map(|c| c.account.fingerprint),
            allowed_regions: AllowedRegions::default(),
            software_version: None,
            account_priority: accepted.caller.as_ref().map_or(0, |c| c.account.priority),
            is_beyond_share: is_beyond_share(&shared, &accepted),
            priority: route.priority,
            target_latency: route.target_latency,
            target_gap: route.target_gap,
            arrived_at: accepted.arrived,
            deadline,
            tried_backends: Vec::new(),
            was_rejected_before: shared.is_client_retry(route, accepted.head.timeout),
            is_load_time_checked: false,
            send_count: 0,
            is_repeat: false,
            earlier_unread_until: None,
            start_tag: 0,
        };
        Self {
            ticket: shared.new_ticket(),
            shared,
            accepted,
            deadline,
            request,
            regions_generation: None,
            runs: 0,
            is_try: false,
            has_engine_ended: false,
            last_event: None,
            failure: None,
        }
    }

    /// Processes the request and returns the response to the client.
    pub async fn run(mut self) -> ClientResponse {
        if let Some(response) = self.reject_if_blocked() {
            return response;
        }
        if self.takes_stream_up() {
            if let Some(response) = self.bind_to_software_version().await {
                return response;
            }
        }
        loop {
            let assignment = match self.wait_for_decision().await {
                Some(Decision::Send(assignment)) => assignment,
                Some(Decision::Reject {
                    cause,
                    retry_after,
                    inputs,
                }) => {
                    self.log_rejection(cause.code(), retry_after, &inputs);
                    return self.final_response(cause.code(), retry_after);
                }
                None => {
                    self.log_rejection(
                        DEADLINE_PASSED,
                        DEFAULT_RETRY_AFTER,
                        &DecisionInputs::default(),
                    );
                    return self.final_response(DEADLINE_PASSED, DEFAULT_RETRY_AFTER);
                }
            };
            if let Err(cause) = self.revalidate_key() {
                self.abandon_assignment(&assignment, &cause.to_string());
                return match cause {
                    AdmissionError::Outdated => {
                        self.final_response(&cause.to_string(), DEFAULT_RETRY_AFTER)
                    }
                    _ => self
                        .local_response()
                        .text(StatusCode::UNAUTHORIZED, KEY_REVOKED),
                };
            }
            // The allowed regions may have changed while the request was queued.
            if self.update_allowed_regions() {
                self.abandon_assignment(&assignment, REGIONS_CHANGED);
                continue;
            }
            // Other entries may have reported crashes while the request was queued.
            if let Some(response) = self.reject_if_blocked() {
                self.abandon_assignment(&assignment, BLOCKED);
                return response;
            }
            self.log_excused_part();
            self.request.send_count += 1;
            self.log_send(&assignment);
            self.set_may_have_run(true);
            match self.send_request(&assignment).await {
                SendResult::Responded(response) => return response,
                SendResult::Streaming(stream) => {
                    return self.stream_to_client(assignment, *stream);
                }
                SendResult::TimedOut => {
                    self.log_send_end(&assignment, "timed_out", None);
                    return self
                        .local_response()
                        .text(StatusCode::GATEWAY_TIMEOUT, DEADLINE_PASSED);
                }
                SendResult::NotRun(outcome) => {
                    self.set_may_have_run(self.runs > 0);
                    self.log_send_end(&assignment, outcome.code(), None);
                    // A back end that was full or lacked the adapter may accept it later.
                    if outcome == SendOutcome::Unreachable {
                        self.request.tried_backends.push(assignment.backend);
                    }
                }
                SendResult::Failed(failure) => {
                    let status = failure.as_ref().map(|f| f.status());
                    self.log_send_end(&assignment, "failed", status);
                    self.count_run(&assignment);
                    self.failure = failure;
                    let may_retry = self.accepted.route.kind.is_repeatable()
                        && self.runs < self.accepted.route.max_attempts
                        && !(self.failure.is_none() && self.is_crash_suspect());
                    if !may_retry {
                        return self.final_response("failed", DEFAULT_RETRY_AFTER);
                    }
                    self.request.is_repeat = true;
                }
            }
            if self.request.send_count >= MAX_SENDS {
                return self.final_response("sends", DEFAULT_RETRY_AFTER);
            }
        }
    }

    fn takes_stream_up(&self) -> bool {
        self.accepted.head.takes_up && self.accepted.route.kind.is_stream()
    }

    /// Records that a back end may have run the request and is not tried again.
    pub(super) fn count_run(&mut self, assignment: &Assignment) {
        self.runs += 1;
        let backend = assignment.backend.clone();
        self.request.tried_backends.push(backend);
    }

    pub(super) async fn wait_for_decision(&mut self) -> Option<Decision> {
        self.request.is_crash_suspect = self.has_engine_ended || self.is_crash_suspect();
        self.update_allowed_regions();
        let control = &self.shared.control;
        let mut guard = WaitGuard::new(control.clone(), self.ticket);
        let decision = control.decide(self.ticket, self.request.clone());
        let decision = tokio::select! {
            biased;
            decision = before_deadline(self.deadline, decision) => decision.ok()??,
            () = self.wait_until_too_late() => return Some(declined_as_stopping()),
        };
        // The decision may have been made before the machine was suspended.
        if clock::now() >= self.deadline {
            return None;
        }
        if matches!(decision, Decision::Send(_)) && self.is_too_late() {
            return Some(declined_as_stopping());
        }
        guard.set_decided();
        Some(decision)
    }

    /// Returns the response to a request that no back end has served: the last back end's error
    /// response if there is one, else 503 if the request has not run and 502 if it may have.
    pub(super) fn final_response(&mut self, reason: &str, retry_after: Duration) -> ClientResponse {
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        match self.runs {
            0 => self
                .local_response()
                .service_unavailable(reason, retry_after),
            _ => self.local_response().text(StatusCode::BAD_GATEWAY, reason),
        }
    }

    /// Checks that the caller's key has not been revoked in the meantime.
    pub(super) fn revalidate_key(&self) -> Result<(), AdmissionError> {
        let Some(caller) = &self.accepted.caller else {
            return Ok(());
        };
        let table = self.shared.table.load();
        let table = table.as_ref().ok_or(AdmissionError::Outdated)?;
        self.shared.admission.revalidate(table, caller)
    }

    /// Updates the allowed regions from the active configuration; returns whether they changed.
    pub(super) fn update_allowed_regions(&mut self) -> bool {
        let Some(table) = self.shared.table.load_full() else {
            return false;
        };
        if self.regions_generation == Some(table.generation) {
            return false;
        }
        self.regions_generation = Some(table.generation);
        let route = find_route(&table, &self.accepted.parts);
        let route = route.as_ref().unwrap_or(&self.accepted.route);
        let caller = self.accepted.caller.as_ref();
        let allowed = Admission::allowed_regions(&table, route, caller);
        let has_changed = allowed != self.request.allowed_regions;
        self.request.allowed_regions = allowed;
        has_changed
    }

    /// Reports to the dispatcher that the request is not sent to the back end assigned to it.
    pub(super) fn abandon_assignment(&self, assignment: &Assignment, cause: &str) {
        let mut guard = SendGuard::new(self.shared.control.clone(), self.ticket);
        guard.end(SendOutcome::Abandoned);
        log::warn!(
            request = self.accepted.head.id.as_str(),
            backend = assignment.backend.as_str(),
            waited_ms = elapsed_ms(self.accepted.arrived),
            cause = cause;
            "dispatch: not sent"
        );
    }

    fn set_may_have_run(&mut self, may_have_run: bool) {
        if let Some(charge) = &mut self.accepted.charge {
            charge.set_may_have_run(may_have_run);
        }
    }

    pub(super) fn local_response(&self) -> LocalResponse<'_> {
        LocalResponse {
            dialect: self.shared.dialect.as_ref(),
            request_id: Some(&self.accepted.head.id),
        }
    }

    pub(super) async fn send_request(&mut self, assignment: &Assignment) -> SendResult {
        let timer = RunTimer::start(&self.shared.run_times, &self.accepted.route, self.ticket);
        let mut guard = SendGuard::new(self.shared.control.clone(), self.ticket).timed_by(timer);
        let Some(req) = self.build_request(assignment) else {
            return SendResult::Failed(None);
        };
        let sent_at = clock::now();
        let result = before_deadline(self.deadline, self.connect_and_send(assignment.addr, req));
        match result.await {
            Err(_) => SendResult::TimedOut,
            Ok(Err(BackendSendError::NotSent { addr, problem })) => {
                let request = self.accepted.head.id.as_str();
                log::info!(request = request; "send: {addr}: {problem}");
                guard.end(SendOutcome::Unreachable);
                SendResult::NotRun(SendOutcome::Unreachable)
            }
            Ok(Err(BackendSendError::Lost {
                addr,
                problem,
                cause,
            })) => {
                let request = self.accepted.head.id.as_str();
                log::info!(request = request, cause = cause.code(); "send: {addr}: {problem}");
                self.count_lost_head(cause);
                let outcome = match cause {
                    EndCause::Closed => SendOutcome::Broken,
                    _ => SendOutcome::Reset,
                };
                guard.end(outcome);
                let unread_until = unread_until(outcome, clock::now());
                let earlier = &mut self.request.earlier_unread_until;
                *earlier = unread_until.max(*earlier);
                SendResult::Failed(None)
            }
            Ok(Ok(backend_response)) => {
                let headers = backend_response.response.headers();
                let head = self.shared.dialect.read_response(headers);
                self.report_signals(
                    assignment,
                    sent_at,
                    backend_response.response.status(),
                    &head,
                );
                self.record_unknown_headers(&assignment.backend, headers);
                self.handle_response(&assignment.backend, head, backend_response, guard)
                    .await
            }
        }
    }

    async fn connect_and_send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<BackendResponse, BackendSendError> {
        let began = clock::now();
        let stream = connect(addr, CONNECT_TIMEOUT).await?;
        self.shared.load.on_connected(addr, clock::elapsed(began));
        let mut received = send_on(stream, addr, req).await?;
        let body = received.response.body_mut();
        body.set_max_bytes(self.shared.settings.max_response_bytes);
        body.set_allowance(self.shared.bulk.begin(self.accepted.head.output_tokens));
        Ok(received)
    }

    fn build_request(&self, assignment: &Assignment) -> Option<Request<Full<Bytes>>> {
        let Parts {
            method,
            uri,
            headers,
            ..
        } = &self.accepted.parts;
        let target = uri.path_and_query()?.as_str();
        let mut req = Request::builder().method(method).uri(target);
        let sent_headers = req.headers_mut()?;
        sent_headers.clone_from(headers);
        let send = BackendRequestHead {
            time_left: self.deadline.saturating_duration_since(clock::now()),
            backend: &assignment.backend.name,
            version: assignment.version,
            urgency: assignment.urgency,
            account: self
                .accepted
                .caller
                .as_ref()
                .map(|c| c.account.name.as_str()),
            last_event: self.last_event,
        };
        self.shared
            .dialect
            .write_backend_request(sent_headers, &send);
        req.body(Full::new(self.accepted.body.clone())).ok()
    }
}

/// Returns the time since `since` in ms.
pub(super) fn elapsed_ms(since: Instant) -> u64 {
    clock::elapsed(since).as_millis() as u64
}
