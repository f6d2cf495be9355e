use {
    super::admission::Admission,
    crate::{
        app::Shared,
        control::EntryEvent,
        traffic::{Dispatcher, Job, ResponsePart},
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
    chalkcart_transport::{clock, metrics::GroupClass},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status},
};

/// events held for a slow caller; the rest waits at the sidecar
const CALLER_WINDOW: usize = 32;
const MAX_RESERVED: u32 = 1_000;
const RESERVE_TRIES: usize = 3;
const RESERVE_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// what applications call
pub struct InferenceService {
    shared: Arc<Shared>,
}

impl InferenceService {
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn labels(job: &Job) -> GroupClass {
        GroupClass {
            group: job.group.clone(),
            class: job.class.clone(),
        }
    }

    async fn reserve_at_target(
        &self,
        requirement: &TargetRequirement,
        count: u32,
        failed: &mut Vec<String>,
    ) -> Result<ReserveResponse, Refusal> {
        let name = &self.shared.settings.name;
        let request = RouteRequest {
            requirement: requirement.clone(),
            tokens: u64::from(count),
            excluded: failed.clone(),
        };
        let Some(route) = self.shared.control.route(request).await else {
            return Err(Refusal::not_run(Step::Routing, name, Reason::NoTarget));
        };
        self.shared
            .control
            .send(EntryEvent::RequestEnded(route.target.clone()));
        let order = ReserveOrder { count };
        let answer: Result<ReserveAnswer, _> = self
            .shared
            .peers
            .call(route.addr, path::RESERVE, &order, RESERVE_TIMEOUT)
            .await;
        match answer {
            Ok(ReserveAnswer::Reserved { ids, valid_for }) => Ok(ReserveResponse {
                reserved_ids: ids,
                valid_for_ms: u32::try_from(valid_for.as_millis()).unwrap_or(u32::MAX),
            }),
            Ok(ReserveAnswer::Refused(refusal)) => {
                failed.push(route.target);
                Err(refusal)
            }
            Err(e) => {
                let silent = EntryEvent::TargetUnresponsive(route.target.clone());
                self.shared.control.send(silent);
                let peer = route.target.clone();
                failed.push(route.target);
                // ids that nobody knows can't run
                let refusal = Refusal::not_run(Step::Reserve, peer, Reason::Unreachable);
                Err(refusal.with_detail(e.to_string()))
            }
        }
    }

    fn requirement_for(&self, req: &ReserveRequest) -> Result<TargetRequirement, Status> {
        let admission = Admission::new(&self.shared, "");
        let configuration = admission.configuration()?;
        admission.check_group(&configuration, &req.group)?;
        match &req.work {
            Some(Work::Adapter(name)) => {
                let found = configuration.adapter(name).filter(|a| a.group == req.group);
                let Some(adapter) = found else {
                    return Err(admission.bad("adapter", "not an adapter of the group"));
                };
                Ok(TargetRequirement::Adapter {
                    adapter: adapter.name.to_string(),
                    version: adapter.versions.last().map_or(1, |v| v.version),
                    base_model: adapter.base_model.to_string(),
                })
            }
            Some(Work::Service(name)) => match configuration.service(name) {
                Some(_) => Ok(TargetRequirement::Service(name.clone())),
                None => Err(admission.bad("service", "not a known service")),
            },
            None => Err(admission.bad("work", "expected an adapter or a service")),
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
        let req = req.into_inner();
        let reserved_id = req.reserved_id.clone();
        let job = Admission::new(&self.shared, &reserved_id)
            .generate(req)
            .await?;
        let (tx, rx) = mpsc::channel(CALLER_WINDOW);
        tokio::spawn(generate(self.shared.clone(), job, tx));
        Ok(Response::new(ReceiverStream::new(rx)))
    }

    async fn call(&self, req: Request<CallRequest>) -> Result<Response<CallResponse>, Status> {
        let req = req.into_inner();
        let reserved_id = req.reserved_id.clone();
        let job = Admission::new(&self.shared, &reserved_id).call(req).await?;
        let of = Self::labels(&job);
        let started = clock::now();
        self.shared.metrics.on_request(&of);
        let (tx, mut rx) = mpsc::channel(1);
        let dispatcher = Dispatcher::new(self.shared.clone(), job, tx);
        // the run goes on if this call is dropped, so that its end is known
        let run = tokio::spawn(dispatcher.run());
        let body = rx.recv().await;
        let ended = run.await.map_err(|e| Status::internal(e.to_string()))?;
        if let Err(refusal) = ended {
            self.shared.metrics.on_refused(&refusal);
            return Err(to_status(&refusal));
        }
        let Some(ResponsePart::Body(body)) = body else {
            return Err(Status::internal("the target gave no body"));
        };
        self.shared
            .metrics
            .on_first_token(&of, clock::elapsed(started));
        self.shared.metrics.on_completed(&of);
        Ok(Response::new(CallResponse { body }))
    }

    async fn reserve(
        &self,
        req: Request<ReserveRequest>,
    ) -> Result<Response<ReserveResponse>, Status> {
        let req = req.into_inner();
        let requirement = self.requirement_for(&req)?;
        if req.count == 0 || req.count > MAX_RESERVED {
            let admission = Admission::new(&self.shared, "");
            return Err(admission.bad("count", "expected 1 to 1000"));
        }
        let mut failed = Vec::new();
        loop {
            match self
                .reserve_at_target(&requirement, req.count, &mut failed)
                .await
            {
                Ok(response) => return Ok(Response::new(response)),
                Err(refusal) if failed.len() >= RESERVE_TRIES || failed.is_empty() => {
                    return Err(to_status(&refusal));
                }
                Err(refusal) => log::debug!("rpc: reserve again after: {refusal}"),
            }
        }
    }

    async fn cancel(
        &self,
        req: Request<CancelRequest>,
    ) -> Result<Response<CancelResponse>, Status> {
        let text = req.into_inner().reserved_id;
        let id: ReservedId = text.parse().map_err(|_| {
            Admission::new(&self.shared, &text).bad("reserved_id", "not a reserved id")
        })?;
        let order = CancelOrder { request: text };
        let answer = match self.shared.control.find_target(id.target).await {
            Some(listed) => {
                let peers = &self.shared.peers;
                let call = peers.call(listed.addr, path::CANCEL, &order, CANCEL_TIMEOUT);
                call.await.ok()
            }
            None => None,
        };
        let outcome = answer.map_or(PeerOutcome::MayHaveRun, |a: CancelAnswer| a.outcome);
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

/// run a request and pass its tokens on, the final status last
async fn generate(
    shared: Arc<Shared>,
    job: Job,
    caller: mpsc::Sender<Result<GenerateEvent, Status>>,
) {
    let of = InferenceService::labels(&job);
    shared.metrics.on_request(&of);
    let (tx, rx) = mpsc::channel(1);
    let dispatcher = Dispatcher::new(shared.clone(), job, tx);
    let (ended, ()) = tokio::join!(dispatcher.run(), pass_on(&shared, &of, rx, &caller));
    match ended {
        Ok(()) => shared.metrics.on_completed(&of),
        Err(refusal) => {
            shared.metrics.on_refused(&refusal);
            // the caller may be gone
            let _ = caller.send(Err(to_status(&refusal))).await;
        }
    }
}

async fn pass_on(
    shared: &Shared,
    of: &GroupClass,
    mut parts: mpsc::Receiver<ResponsePart>,
    caller: &mpsc::Sender<Result<GenerateEvent, Status>>,
) {
    let mut last = clock::now();
    let mut count = 0;
    loop {
        let part = tokio::select! {
            part = parts.recv() => part,
            () = caller.closed() => return,
        };
        let event = match part {
            Some(ResponsePart::Token(text)) => {
                match count {
                    0 => shared.metrics.on_first_token(of, clock::elapsed(last)),
                    _ => shared.metrics.on_next_token(of, clock::elapsed(last)),
                }
                last = clock::now();
                count += 1;
                Event::Token(Token {
                    index: count - 1,
                    text,
                })
            }
            Some(ResponsePart::Finished { adapter, version }) => Event::Finished(Finished {
                token_count: count,
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
