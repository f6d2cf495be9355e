use {
    super::{
        engine_runner::{EngineRunner, RunContext},
        service_run::run_service,
        shared::Shared,
    },
    chalkcart_coordination::{
        sidecar::{OrderFence, OrderResult, RunEnd, SidecarAction, SidecarEvent},
        slots::AdapterKey,
    },
    chalkcart_protocol::peer::{
        path, FrameBody, Outcome, PermitRequest, PermitResponse, Reason, Refusal, Work, WorkOrder,
    },
    chalkcart_state::ids::RequestId,
    chalkcart_transport::{
        client::PeerClient,
        clock,
        engine::{Engine, EngineError},
        metrics::GroupClass,
        service::PlainService,
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::runtime::Handle,
    tokio_util::sync::CancellationToken,
};

const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of the sidecar's target.
#[derive(Clone)]
pub enum TargetClient {
    Engine(Arc<dyn Engine>),
    Service(Arc<dyn PlainService>),
}

type CancellationTokens = Arc<Mutex<HashMap<RequestId, CancellationToken>>>;

/// Performs the actions of the control thread on the traffic threads.
#[derive(Clone)]
pub struct Executor {
    shared: Arc<Shared>,
    target: TargetClient,
    peers: PeerClient,
    runtime: Handle,
    /// Cancellation tokens of running requests.
    cancellations: CancellationTokens,
}

impl Executor {
    pub fn new(shared: Arc<Shared>, target: TargetClient, runtime: Handle) -> Self {
        Self {
            shared,
            target,
            peers: PeerClient::new(),
            runtime,
            cancellations: CancellationTokens::default(),
        }
    }

    pub fn perform(&self, action: SidecarAction) {
        match action {
            SidecarAction::ReadEngine => self.read_engine(),
            SidecarAction::TakeFence(order) => self.take_fence(order),
            SidecarAction::Load { adapter, order } => self.load(adapter, order),
            SidecarAction::Unload { adapter, order } => self.unload(adapter, order),
            SidecarAction::Run {
                work,
                order,
                priority,
                deadline,
                arrived,
                has_stalled,
            } => {
                let context = RunContext {
                    order,
                    priority,
                    deadline,
                };
                self.record_start(&work, arrived, has_stalled);
                self.run(work, context);
            }
            SidecarAction::StopRun { request } => self.stop_run(&request),
            SidecarAction::Reject { request, refusal } => self.reject(&request, refusal),
            SidecarAction::RequestPermit {
                issuer,
                request,
                adapter,
            } => self.request_permit(issuer, request, adapter),
            SidecarAction::ReturnPermit { issuer, request } => self.return_permit(issuer, request),
            SidecarAction::RespondToReserve { reply, response } => {
                self.shared.reserve_replies.complete(reply, response)
            }
            SidecarAction::RespondToCancel { reply, outcome } => {
                self.shared.cancel_replies.complete(reply, outcome)
            }
            SidecarAction::Drained => {
                self.shared.drained.send_replace(true);
            }
        }
    }

    fn spawn_engine_call<F, Fut>(&self, call: F)
    where
        F: FnOnce(Arc<dyn Engine>) -> Fut,
        Fut: std::future::Future<Output = SidecarEvent> + Send + 'static,
    {
        let TargetClient::Engine(engine) = &self.target else {
            return;
        };
        let event = call(engine.clone());
        let shared = self.shared.clone();
        self.runtime.spawn(async move { shared.send(event.await) });
    }

    fn read_engine(&self) {
        self.spawn_engine_call(|engine| async move {
            let status = engine.status().await;
            if let Err(e) = &status {
                log::debug!("engine: status could not be read: {e}");
            }
            SidecarEvent::EngineRead(status.ok())
        });
    }

    fn take_fence(&self, order: OrderFence) {
        self.spawn_engine_call(|engine| async move {
            let result = engine.take_fence(order).await;
            log::info!(
                "engine: fence {} taken: {}",
                order.fence,
                result_text(&result)
            );
            SidecarEvent::FenceTakeEnded {
                incarnation: order.incarnation,
                fence: order.fence,
                result: order_result(&result),
            }
        });
    }

    fn load(&self, adapter: AdapterKey, order: OrderFence) {
        self.spawn_engine_call(|engine| async move {
            let started = clock::now();
            let result = engine.load(order, &adapter).await;
            log::info!("slots: load of {adapter}: {}", result_text(&result));
            SidecarEvent::LoadEnded {
                adapter,
                incarnation: order.incarnation,
                result: order_result(&result),
                duration: clock::elapsed(started),
            }
        });
    }

    fn unload(&self, adapter: AdapterKey, order: OrderFence) {
        self.spawn_engine_call(|engine| async move {
            let result = engine.unload(order, &adapter).await;
            log::info!("slots: unload of {adapter}: {}", result_text(&result));
            SidecarEvent::UnloadEnded {
                adapter,
                incarnation: order.incarnation,
                result: order_result(&result),
            }
        });
    }

    fn run(&self, work: Box<WorkOrder>, context: RunContext) {
        let cancellation = CancellationToken::new();
        self.cancellations()
            .insert(work.request.clone(), cancellation.clone());
        let (stream, _) = self.shared.streams.open(&work.request, work.reserved);
        let shared = self.shared.clone();
        let target = self.target.clone();
        let cancellations = self.cancellations.clone();
        self.runtime.spawn(async move {
            let request = work.request.clone();
            let end = match (target, work.work) {
                (TargetClient::Engine(engine), Work::Generate(work)) => {
                    let runner = EngineRunner::new(engine, stream, request.clone(), work);
                    runner.run(context, cancellation).await
                }
                (TargetClient::Service(service), Work::Call(work)) => {
                    run_service(service, stream, &request, work, context, cancellation).await
                }
                _ => end_for_wrong_target(),
            };
            let mut cancellations = cancellations.lock().unwrap_or_else(PoisonError::into_inner);
            cancellations.remove(&request);
            drop(cancellations);
            shared.send(SidecarEvent::RunEnded { request, end });
        });
    }

    fn stop_run(&self, request: &RequestId) {
        if let Some(cancellation) = self.cancellations().get(request) {
            cancellation.cancel();
        }
    }

    fn reject(&self, request: &RequestId, refusal: Refusal) {
        log::debug!("queue: {request} rejected: {refusal}");
        self.shared.metrics.on_refused(&refusal);
        if let Some(stream) = self.shared.streams.get(request) {
            stream.push(FrameBody::Refused(refusal));
        }
    }

    fn request_permit(&self, issuer: SocketAddr, request: PermitRequest, adapter: AdapterKey) {
        let shared = self.shared.clone();
        let peers = self.peers.clone();
        self.runtime.spawn(async move {
            let response = peers
                .call(issuer, path::PERMIT, &request, PERMIT_TIMEOUT)
                .await;
            if let Err(e) = &response {
                log::warn!("permits: request for {adapter} failed: {e}");
            }
            let response = response.ok();
            shared.send(SidecarEvent::PermitRequestEnded { adapter, response });
        });
    }

    fn return_permit(&self, issuer: SocketAddr, request: PermitRequest) {
        let peers = self.peers.clone();
        self.runtime.spawn(async move {
            // If the call is lost, the permit expires with its lease.
            let _: Result<PermitResponse, _> = peers
                .call(issuer, path::PERMIT, &request, PERMIT_TIMEOUT)
                .await;
        });
    }

    fn record_start(&self, work: &WorkOrder, arrived: Instant, has_stalled: bool) {
        let group_class = GroupClass {
            group: work.group.clone(),
            class: work.class.clone(),
        };
        let wait = clock::elapsed(arrived);
        self.shared.metrics.on_wait(&group_class, wait);
        if has_stalled {
            self.shared.metrics.on_load_stall(&group_class, wait);
        }
        let report = self.shared.report.load();
        let metrics = &self.shared.metrics;
        metrics.on_batch(report.running, report.max_running);
    }

    fn cancellations(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, CancellationToken>> {
        self.cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn order_result(result: &Result<(), EngineError>) -> OrderResult {
    match result {
        Ok(()) => OrderResult::Done,
        Err(e) => e.order_result(),
    }
}

fn result_text(result: &Result<(), EngineError>) -> String {
    match result {
        Ok(()) => "done".to_string(),
        Err(e) => e.to_string(),
    }
}

fn end_for_wrong_target() -> RunEnd {
    RunEnd {
        outcome: Outcome::NotRun,
        failure: Some(Reason::BadRequest),
        detail: "work of another kind than the target's".to_string(),
        tokens: 0,
        duration: Duration::ZERO,
        may_still_run: false,
    }
}
