use {
    super::request_validator::RequestValidator,
    crate::{
        app::Shared,
        control::EntryEvent,
        traffic::{Job, RequestForwarder, ResponsePart},
    },
    chalkcart_coordination::routing::{RouteRequest, TargetRequirement},
    chalkcart_protocol::{
        peer::{
            path, CancelAnswer, CancelOrder, Outcome as PeerOutcome, Reason, Refusal,
            ReserveAnswer, ReserveOrder, Step,
        },
        status::to_status,
        v1::{
            generate_event::Event, inference_server::Inference, reserve_request::Work, CallRequest,
            CallResponse, CancelRequest, CancelResponse, Finished, GenerateEvent, GenerateRequest,
            Outcome, ReserveRequest, ReserveResponse, Token,
        },
    },
    chalkcart_state::ids::ReservedId,
    chalkcart_transport::{clients::HeldRequest, clock, metrics::GroupClass},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status},
};

/// Events buffered for a slow caller; further ones wait at the sidecar.
const EVENT_BUFFER: usize = 32;
const MAX_RESERVED_IDS: u32 = 1_000;
const MAX_RESERVE_ATTEMPTS: usize = 3;
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the RPCs of applications.
pub struct InferenceService {
    shared: Arc<Shared>,
}

impl InferenceService {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn metric_labels(job: &Job) -> GroupClass {
        GroupClass {
            group: job.group.clone(),
            class: job.class.clone(),
        }
    }

    /// Reserves ids at a target that has not failed yet.
    async fn reserve_at_target(
        &self,
        requirement: &TargetRequirement,
        count: u32,
        failed_targets: &mut Vec<String>,
    ) -> Result<ReserveResponse, Refusal> {
        let name = &self.shared.settings.name;
        let request = RouteRequest {
            requirement: requirement.clone(),
            tokens: u64::from(count),
            excluded: failed_targets.clone(),
        };
        let Some(route) = self.shared.control.route(request).await else {
            return Err(Refusal::not_run(Step::Routing, name, Reason::NoTarget));
        };
        self.shared
            .control
            .send(EntryEvent::RequestEnded(route.target.clone()));
        let order = ReserveOrder { count };
        let response: Result<ReserveAnswer, _> = self
            .shared
            .peers
            .call(route.addr, path::RESERVE, &order, RESERVE_TIMEOUT)
            .await;
        match response {
            Ok(ReserveAnswer::Reserved { ids, valid_for }) => Ok(ReserveResponse {
                reserved_ids: ids,
                valid_for_ms: u32::try_from(valid_for.as_millis()).unwrap_or(u32::MAX),
            }),
            Ok(ReserveAnswer::Refused(refusal)) => {
                failed_targets.push(route.target);
                Err(refusal)
            }
            Err(e) => {
                let event = EntryEvent::TargetUnresponsive(route.target.clone());
                self.shared.control.send(event);
                let peer = route.target.clone();
                failed_targets.push(route.target);
                // No caller has received these ids, so nothing can run under them.
                let refusal = Refusal::not_run(Step::Reserve, peer, Reason::Unreachable);
                Err(refusal.with_detail(e.to_string()))
            }
        }
    }

    /// Returns which targets can serve the work that ids are reserved for.
    fn requirement_for(&self, req: &ReserveRequest) -> Result<TargetRequirement, Status> {
        let validator = RequestValidator::new(&self.shared, "");
        let configuration = validator.configuration()?;
        validator.check_group(&configuration, &req.group)?;
        match &req.work {
            Some(Work::Adapter(name)) => {
                let found = configuration.adapter(name).filter(|a| a.group == req.group);
                let Some(adapter) = found else {
                    return Err(validator.invalid_field("adapter", "not an adapter of the group"));
                };
                Ok(TargetRequirement::Adapter {
                    adapter: adapter.name.to_string(),
                    version: adapter.versions.last().map_or(1, |v| v.version),
                    base_model: adapter.base_model.to_string(),
                })
            }
            Some(Work::Service(name)) => match configuration.service(name) {
                Some(_) => Ok(TargetRequirement::Service(name.clone())),
                None => Err(validator.invalid_field("service", "not a known service")),
            },
            None => Err(validator.invalid_field("work", "expected an adapter or a service")),
        }
    }
}

#[tonic::async_trait]
impl Inference for InferenceService {
    type GenerateStream = ReceiverStream<Result<GenerateEvent, Status>>;

    async fn generate(
        &self,
        req: Request<GenerateRequest>,
    ) -> Result<Response<Self::GenerateStream>, Status> {
        let held = req.extensions().get::<HeldRequest>().cloned();
        let req = req.into_inner();
        let reserved_id = req.reserved_id.clone();
        let job = RequestValidator::new(&self.shared, &reserved_id)
            .generate_job(req)
            .await?;
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        let run = generate(self.shared.clone(), job, tx);
        tokio::spawn(async move {
            run.await;
            drop(held);
        });
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn call(&self, req: Request<CallRequest>) -> Result<Response<CallResponse>, Status> {
        let held = req.extensions().get::<HeldRequest>().cloned();
        let req = req.into_inner();
        let reserved_id = req.reserved_id.clone();
        let job = RequestValidator::new(&self.shared, &reserved_id)
            .call_job(req)
            .await?;
        let labels = Self::metric_labels(&job);
        let started = clock::now();
        self.shared.metrics.on_request(&labels);
        let (tx, mut rx) = mpsc::channel(1);
        let forwarder = RequestForwarder::new(self.shared.clone(), job, tx);
        // The request completes even if this call is dropped, so that its outcome is known.
        let run = tokio::spawn(async move {
            let result = forwarder.run().await;
            drop(held);
            result
        });
        let body = rx.recv().await;
        let result = run.await.map_err(|e| Status::internal(e.to_string()))?;
        if let Err(refusal) = result {
            self.shared.metrics.on_refused(&refusal);
            return Err(to_status(&refusal));
        }
        let Some(ResponsePart::Body(body)) = body else {
            return Err(Status::internal("the target gave no body"));
        };
        self.shared
            .metrics
            .on_first_token(&labels, clock::elapsed(started));
        self.shared.metrics.on_completed(&labels);
        Ok(Response::new(CallResponse { body }))
    }

    async fn reserve(
        &self,
        req: Request<ReserveRequest>,
    ) -> Result<Response<ReserveResponse>, Status> {
        let req = req.into_inner();
        let requirement = self.requirement_for(&req)?;
        if req.count == 0 || req.count > MAX_RESERVED_IDS {
            let validator = RequestValidator::new(&self.shared, "");
            return Err(validator.invalid_field("count", "expected 1 to 1000"));
        }
        let mut failed_targets = Vec::new();
        loop {
            match self
                .reserve_at_target(&requirement, req.count, &mut failed_targets)
                .await
            {
                Ok(response) => return Ok(Response::new(response)),
                Err(refusal)
                    if failed_targets.len() >= MAX_RESERVE_ATTEMPTS
                        || failed_targets.is_empty() =>
                {
                    return Err(to_status(&refusal));
                }
                Err(refusal) => log::debug!("rpc: reservation is retried after: {refusal}"),
            }
        }
    }

    async fn cancel(
        &self,
        req: Request<CancelRequest>,
    ) -> Result<Response<CancelResponse>, Status> {
        let text = req.into_inner().reserved_id;
        let id: ReservedId = text.parse().map_err(|_| {
            RequestValidator::new(&self.shared, &text)
                .invalid_field("reserved_id", "not a reserved id")
        })?;
        let order = CancelOrder { request: text };
        let response = match self.shared.control.find_target(id.target).await {
            Some(listed) => {
                let peers = &self.shared.peers;
                let call = peers.call(listed.addr, path::CANCEL, &order, CANCEL_TIMEOUT);
                call.await.ok()
            }
            None => None,
        };
        let outcome = response.map_or(PeerOutcome::MayHaveRun, |r: CancelAnswer| r.outcome);
        Ok(Response::new(CancelResponse {
            outcome: outcome_code(outcome) as i32,
        }))
    }
}

fn outcome_code(outcome: PeerOutcome) -> Outcome {
    match outcome {
        PeerOutcome::NotRun => Outcome::NotRun,
        PeerOutcome::MayHaveRun => Outcome::MayHaveRun,
        PeerOutcome::Ran => Outcome::Ran,
    }
}

/// Runs a request and sends its events to the caller, followed by the status if it failed.
async fn generate(
    shared: Arc<Shared>,
    job: Job,
    caller: mpsc::Sender<Result<GenerateEvent, Status>>,
) {
    let labels = InferenceService::metric_labels(&job);
    shared.metrics.on_request(&labels);
    let (tx, rx) = mpsc::channel(1);
    let forwarder = RequestForwarder::new(shared.clone(), job, tx);
    let (result, ()) = tokio::join!(
        forwarder.run(),
        forward_parts(&shared, &labels, rx, &caller)
    );
    match result {
        Ok(()) => shared.metrics.on_completed(&labels),
        Err(refusal) => {
            shared.metrics.on_refused(&refusal);
            // The caller may have disconnected.
            let _ = caller.send(Err(to_status(&refusal))).await;
        }
    }
}

/// Sends the parts of a response to the caller and records token latencies.
async fn forward_parts(
    shared: &Shared,
    labels: &GroupClass,
    mut parts: mpsc::Receiver<ResponsePart>,
    caller: &mpsc::Sender<Result<GenerateEvent, Status>>,
) {
    let mut previous = clock::now();
    let mut token_count = 0;
    loop {
        let part = tokio::select! {
            part = parts.recv() => part,
            () = caller.closed() => return,
        };
        let event = match part {
            Some(ResponsePart::Token(text)) => {
                match token_count {
                    0 => shared
                        .metrics
                        .on_first_token(labels, clock::elapsed(previous)),
                    _ => shared
                        .metrics
                        .on_next_token(labels, clock::elapsed(previous)),
                }
                previous = clock::now();
                token_count += 1;
                Event::Token(Token {
                    index: token_count - 1,
                    text,
                })
            }
            Some(ResponsePart::Finished { adapter, version }) => Event::Finished(Finished {
                token_count,
                adapter,
                version,
            }),
            Some(ResponsePart::Body(_)) | None => return,
        };
        if caller
            .send(Ok(GenerateEvent { event: Some(event) }))
            .await
            .is_err()
        {
            return;
        }
    }
}
