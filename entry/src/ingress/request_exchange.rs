use {
    super::{
        admission::{Admission, AdmissionError},
        local_response::LocalResponse,
        observers::{SendGuard, StreamObserver, WaitGuard},
        service::{find_route, AcceptedRequest},
        shared::Shared,
    },
    bytes::Bytes,
    chalkcart_coordination::{
        backend_signals::RequestRate,
        crashes::RequestVerdict,
        dispatch::{
            Assignment, Decision, DecisionInputs, DispatchEvent, DispatchRequest, SendOutcome,
            Ticket,
        },
    },
    chalkcart_state::{backends::BackendId, ids::Generation, regions::AllowedRegions},
    chalkcart_transport::{
        backend::{send, BackendResponse, BackendSendError},
        clock::{self, before_deadline},
        ingress::{
            remove_connection_headers, BackendRequestHead, BackendResponseHead, ClientResponse,
            ProxyBody,
        },
    },
    http::{request::Parts, HeaderMap, Request, Response, StatusCode},
    http_body_util::{BodyExt, Either, Full},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// longest time that a connection may take to come up
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// sends of one request, however short each was
const MAX_SENDS: u32 = 4;
/// when a request comes back whose time here was too short
const LATE_RETRY: Duration = Duration::from_millis(100);

/// the word for a request whose time ran out here
const LATE: &str = "late";

/// the word for a request whose key was taken away while it waited
const KEY_GONE: &str = "key taken away";

/// the word for a request that ends the engines that run it
const ENDS_ENGINES: &str = "engines ended under this request: it is not run any more";

/// why a back end that was chosen is not sent a request
const REGIONS_CHANGED: &str = "its allowed regions changed";

/// one request on its way: waits, sends and repeats
pub struct RequestExchange {
    pub(super) shared: Arc<Shared>,
    ticket: Ticket,
    pub(super) accepted: AcceptedRequest,
    deadline: Instant,
    pub(super) ask: DispatchRequest,
    /// the table by which its allowed regions are known
    judged_by: Option<Generation>,
    /// back ends on which it may have run
    pub(super) runs: u32,
    /// what the last back end that failed it said, if it was an answer
    failure: Option<ClientResponse>,
}

/// how one send ended
enum Attempt {
    Answered(ClientResponse),
    NotRun(SendOutcome),
    /// it may have run; perhaps the back end's own failure can be passed on
    Failed(Option<ClientResponse>),
    TimedOut,
}

impl RequestExchange {
    pub fn new(shared: Arc<Shared>, accepted: AcceptedRequest) -> Self {
        let route = &accepted.route;
        let patience = accepted.head.timeout.unwrap_or(route.timeout);
        let deadline = accepted.arrived + patience.min(route.timeout);
        let service = route.pick_service(rand::random());
        let ask = DispatchRequest {
            digest: accepted.digest,
            is_crash_suspect: false,
            service: service.cloned().unwrap_or_default(),
            model: accepted.head.model.clone(),
            adapter: accepted.head.adapter.clone(),
            prompt_tokens: accepted.head.prompt_tokens,
            account: accepted.caller.as_ref().map(|c| c.account.fingerprint),
            allowed_regions: AllowedRegions::default(),
            account_priority: accepted.caller.as_ref().map_or(0, |c| c.account.priority),
            priority: route.priority,
            target_latency: route.target_latency,
            arrived_at: accepted.arrived,
            deadline,
            tried_backends: Vec::new(),
            was_rejected_before: shared.is_client_retry(route, accepted.head.timeout),
            is_load_time_checked: false,
            send_count: 0,
            start_tag: 0,
        };
        Self {
            ticket: shared.new_ticket(),
            shared,
            accepted,
            deadline,
            ask,
            judged_by: None,
            runs: 0,
            failure: None,
        }
    }

    /// bring the request to its end
    pub async fn run(mut self) -> ClientResponse {
        if let Some(refusal) = self.refusal_of_crashing() {
            return refusal;
        }
        loop {
            let assignment = match self.wait_for_decision().await {
                Some(Decision::Send(assignment)) => assignment,
                Some(Decision::Reject {
                    cause,
                    retry_after,
                    inputs,
                }) => {
                    self.log_refusal(cause.code(), retry_after, &inputs);
                    return self.give_up(cause.code(), retry_after);
                }
                None => {
                    self.log_refusal(LATE, LATE_RETRY, &DecisionInputs::default());
                    return self.give_up(LATE, LATE_RETRY);
                }
            };
            if let Err(cause) = self.admit_again() {
                self.decline(&assignment, &cause.to_string());
                return match cause {
                    AdmissionError::Outdated => self.give_up(&cause.to_string(), LATE_RETRY),
                    _ => self.own().text(StatusCode::UNAUTHORIZED, KEY_GONE),
                };
            }
            // they may be others since it began to wait
            if self.judge_regions() {
                self.decline(&assignment, REGIONS_CHANGED);
                continue;
            }
            // what others learnt while it waited
            if let Some(refusal) = self.refusal_of_crashing() {
                self.decline(&assignment, ENDS_ENGINES);
                return refusal;
            }
            self.ask.send_count += 1;
            self.log_send(&assignment);
            self.set_may_have_run(true);
            match self.attempt(&assignment).await {
                Attempt::Answered(response) => return response,
                Attempt::TimedOut => {
                    self.log_attempt(&assignment, "timed_out", None);
                    return self.own().text(StatusCode::GATEWAY_TIMEOUT, LATE);
                }
                Attempt::NotRun(outcome) => {
                    self.set_may_have_run(self.runs > 0);
                    self.log_attempt(&assignment, outcome.code(), None);
                    // a back end that was full, or lacked the adapter, may do later
                    if outcome == SendOutcome::Unreachable {
                        self.ask.tried_backends.push(assignment.backend);
                    }
                }
                Attempt::Failed(failure) => {
                    let status = failure.as_ref().map(|f| f.status());
                    self.log_attempt(&assignment, "failed", status);
                    self.runs += 1;
                    self.ask.tried_backends.push(assignment.backend);
                    self.failure = failure;
                    let may_repeat = self.accepted.route.kind.is_repeatable()
                        && self.runs < self.accepted.route.max_attempts
                        && !(self.failure.is_none() && self.is_suspected());
                    if !may_repeat {
                        return self.give_up("failed", LATE_RETRY);
                    }
                }
            }
            if self.ask.send_count >= MAX_SENDS {
                return self.give_up("sends", LATE_RETRY);
            }
        }
    }

    async fn wait_for_decision(&mut self) -> Option<Decision> {
        self.ask.is_crash_suspect = self.is_suspected();
        self.judge_regions();
        let control = &self.shared.control;
        let mut guard = WaitGuard::new(control.clone(), self.ticket);
        let asked = control.decide(self.ticket, self.ask.clone());
        let decision = before_deadline(self.deadline, asked).await.ok()??;
        // one that was made before the machine was suspended comes too late
        if clock::now() >= self.deadline {
            return None;
        }
        guard.set_decided();
        Some(decision)
    }

    /// the final answer to a request that no back end answered
    fn give_up(&mut self, reason: &str, retry_after: Duration) -> ClientResponse {
        if let Some(failure) = self.failure.take() {
            return failure;
        }
        match self.runs {
            0 => self.own().service_unavailable(reason, retry_after),
            _ => self.own().text(StatusCode::BAD_GATEWAY, reason),
        }
    }

    /// The final answer to a request that ends the engines that run it: whoever sends it
    /// again loses time only, so it is not told to come back. This try has not run, unless
    /// an earlier send of it broke off.
    fn refusal_of_crashing(&mut self) -> Option<ClientResponse> {
        let RequestVerdict::Blocked { crashes, age } = self.standing() else {
            return None;
        };
        log::warn!(
            request = self.accepted.head.id.as_str(),
            digest = self.accepted.digest.to_string().as_str(),
            route = self.accepted.route.name.as_str(),
            account = self.account_name(),
            ended = crashes,
            age_ms = age.as_millis() as u64,
            sends = self.ask.send_count,
            waited_ms = elapsed_ms(self.accepted.arrived);
            "crashes: request refused"
        );
        self.shared.crashes.metrics.refused.inc();
        Some(match self.runs {
            0 => self.own().text(StatusCode::BAD_REQUEST, ENDS_ENGINES),
            _ => self.give_up(ENDS_ENGINES, LATE_RETRY),
        })
    }

    fn standing(&self) -> RequestVerdict {
        self.shared.crashes.verdict(&self.accepted.digest)
    }
    /// whether it may end the engine that runs it, for all that is known
    fn is_suspected(&self) -> bool {
        self.standing() != RequestVerdict::Clear
    }

    /// whether the caller's key is still its own
    fn admit_again(&self) -> Result<(), AdmissionError> {
        let Some(caller) = &self.accepted.caller else {
            return Ok(());
        };
        let table = self.shared.table.load();
        let table = table.as_ref().ok_or(AdmissionError::Outdated)?;
        self.shared.admission.revalidate(table, caller)
    }

    /// see where it may be served by the configuration in force; says whether that has changed
    fn judge_regions(&mut self) -> bool {
        let Some(table) = self.shared.table.load_full() else {
            return false;
        };
        if self.judged_by == Some(table.generation) {
            return false;
        }
        self.judged_by = Some(table.generation);
        let route = find_route(&table, &self.accepted.parts);
        let route = route.as_ref().unwrap_or(&self.accepted.route);
        let caller = self.accepted.caller.as_ref();
        let allowed = Admission::allowed_regions(&table, route, caller);
        let has_changed = allowed != self.ask.allowed_regions;
        self.ask.allowed_regions = allowed;
        has_changed
    }

    /// give a back end back that was chosen for a request which must not run
    fn decline(&self, to: &Assignment, cause: &str) {
        let mut guard = SendGuard::new(self.shared.control.clone(), self.ticket);
        guard.end(SendOutcome::Abandoned);
        log::warn!(
            request = self.accepted.head.id.as_str(),
            backend = to.backend.as_str(),
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

    fn own(&self) -> LocalResponse<'_> {
        LocalResponse {
            dialect: self.shared.dialect.as_ref(),
            request_id: Some(&self.accepted.head.id),
        }
    }

    async fn attempt(&self, assignment: &Assignment) -> Attempt {
        let mut guard = SendGuard::new(self.shared.control.clone(), self.ticket);
        let Some(req) = self.request(assignment) else {
            return Attempt::Failed(None);
        };
        let sent_at = clock::now();
        let sent = before_deadline(self.deadline, send(assignment.addr, req, CONNECT_LIMIT));
        match sent.await {
            Err(_) => Attempt::TimedOut,
            Ok(Err(BackendSendError::NotSent { addr, problem })) => {
                let request = self.accepted.head.id.as_str();
                log::info!(request = request; "send: {addr}: {problem}");
                guard.end(SendOutcome::Unreachable);
                Attempt::NotRun(SendOutcome::Unreachable)
            }
            Ok(Err(BackendSendError::Lost { addr, problem })) => {
                let request = self.accepted.head.id.as_str();
                log::info!(request = request; "send: {addr}: {problem}");
                guard.end(SendOutcome::Broken);
                Attempt::Failed(None)
            }
            Ok(Ok(answer)) => {
                let head = self.shared.dialect.read_response(answer.response.headers());
                self.note_word(assignment, sent_at, answer.response.status(), &head);
                self.note_unknown(&assignment.backend, answer.response.headers());
                self.take_answer(&assignment.backend, head, answer, guard)
                    .await
            }
        }
    }

    fn request(&self, assignment: &Assignment) -> Option<Request<Full<Bytes>>> {
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
        };
        self.shared
            .dialect
            .write_backend_request(sent_headers, &send);
        req.body(Full::new(self.accepted.body.clone())).ok()
    }

    async fn take_answer(
        &self,
        backend: &BackendId,
        head: BackendResponseHead,
        answer: BackendResponse,
        mut guard: SendGuard,
    ) -> Attempt {
        let status = answer.response.status();
        let is_ours = head.request_id.as_deref() == Some(self.accepted.head.id.as_str());
        if status == StatusCode::MISDIRECTED_REQUEST {
            let is_other = head.backend.is_some_and(|name| name != backend.name);
            let outcome = match is_other {
                true => SendOutcome::Superseded,
                false => SendOutcome::Misdirected,
            };
            guard.end(outcome);
            return Attempt::NotRun(outcome);
        }
        if head.proves_not_run {
            guard.end(SendOutcome::Shed);
            return Attempt::NotRun(SendOutcome::Shed);
        }
        let is_sound = is_ours && !head.is_encoded && (head.is_signed || !status.is_success());
        // these would promise that the request did not run
        let is_promise = matches!(
            status,
            StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::REQUEST_TIMEOUT
        );
        if !is_sound || is_promise {
            let request = self.accepted.head.id.as_str();
            log::info!(request = request; "send: unsound answer {status}");
            guard.end(SendOutcome::Failed);
            return Attempt::Failed(None);
        }
        match self.accepted.route.kind.is_stream() && status.is_success() {
            true => self.pass_stream(backend, answer, guard),
            false => self.collect(answer, guard).await,
        }
    }

    /// tell the dispatcher what a back end says of itself, before its answer ends
    fn note_word(
        &self,
        to: &Assignment,
        sent: Instant,
        status: StatusCode,
        head: &BackendResponseHead,
    ) {
        let backend = to.backend.clone();
        let is_other = head.backend.as_ref().is_some_and(|n| *n != backend.name);
        let word = head.signals(status);
        // that a limit is no longer named is news, if this is surely its answer
        let is_ours = head.request_id.as_deref() == Some(self.accepted.head.id.as_str());
        let is_its = is_ours && status != StatusCode::MISDIRECTED_REQUEST;
        let ends_limit = to.is_limited && is_its;
        if is_other || (word.is_empty() && !ends_limit) {
            return;
        }
        word.codes()
            .for_each(|code| self.shared.metrics.on_backend_signal(code));
        log::info!(
            request = self.accepted.head.id.as_str(),
            backend = backend.as_str(),
            born = backend.start_time_ms,
            leaving = word.is_leaving,
            rest_ms = word.backoff.map_or(0, |rest| rest.as_millis() as u64),
            limit_per_s = word.limit.rate().map_or(-1.0, RequestRate::per_s),
            cold_ms = word.slow_start_left.map_or(-1, |left| left.as_millis() as i64),
            status = status.as_u16(),
            total_ms = elapsed_ms(self.accepted.arrived);
            "backend: says of itself"
        );
        self.shared
            .control
            .send_event(DispatchEvent::SignalReceived {
                backend,
                signal: word,
                sent_at: sent,
            });
    }

    /// count and log what a back end says and this build does not know; never its value
    fn note_unknown(&self, backend: &BackendId, headers: &HeaderMap) {
        let dialect = &self.shared.dialect;
        for name in headers
            .keys()
            .filter(|name| !dialect.is_known_response_header(name))
        {
            let is_named = self.shared.metrics.on_unknown_header(name.as_str());
            if is_named && self.shared.unknown_headers.insert(backend, name.as_str()) {
                log::warn!(
                    backend = backend.as_str(),
                    born = backend.start_time_ms,
                    header = name.as_str();
                    "backend: says what is not known here"
                );
            }
        }
    }

    fn pass_stream(
        &self,
        backend: &BackendId,
        answer: BackendResponse,
        guard: SendGuard,
    ) -> Attempt {
        let observer = StreamObserver {
            shared: self.shared.clone(),
            guard,
            request: self.accepted.head.id.clone(),
            digest: self.accepted.digest,
            route: self.accepted.route.clone(),
            backend: backend.clone(),
            arrived: self.accepted.arrived,
            first_part: None,
        };
        let (mut parts, body) = answer.response.into_parts();
        remove_connection_headers(&mut parts.headers, self.shared.dialect.end_to_end_headers());
        let body = ProxyBody::new(body, answer.connection, self.deadline, Box::new(observer));
        Attempt::Answered(Response::from_parts(parts, Either::Right(body)))
    }

    async fn collect(&self, answer: BackendResponse, mut guard: SendGuard) -> Attempt {
        let (mut parts, body) = answer.response.into_parts();
        remove_connection_headers(&mut parts.headers, self.shared.dialect.end_to_end_headers());
        let body = match before_deadline(self.deadline, body.collect()).await {
            Err(_) => return Attempt::TimedOut,
            Ok(Err(_)) => {
                guard.end(SendOutcome::Broken);
                return Attempt::Failed(None);
            }
            Ok(Ok(collected)) => collected.to_bytes(),
        };
        let is_failure = parts.status.is_server_error();
        let response = Response::from_parts(parts, Either::Left(Full::new(body)));
        if is_failure {
            guard.end(SendOutcome::Failed);
            return Attempt::Failed(Some(response));
        }
        guard.end(SendOutcome::Answered);
        let answered = SendOutcome::Answered.code();
        self.shared.metrics.on_send_ended(answered);
        let route = &self.accepted.route.name;
        let after = clock::elapsed(self.accepted.arrived);
        self.shared.metrics.on_first_part(route, after);
        Attempt::Answered(response)
    }
}

/// ms since a moment, for logs
pub(super) fn elapsed_ms(since: Instant) -> u64 {
    clock::elapsed(since).as_millis() as u64
}
