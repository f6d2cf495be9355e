use {
    super::{
        engine_run::{EngineRunner, RunContext},
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

/// the target behind the sidecar
#[derive(Clone)]
pub enum TargetClient {
    Engine(Arc<dyn Engine>),
    Service(Arc<dyn PlainService>),
}

type Stops = Arc<Mutex<HashMap<RequestId, CancellationToken>>>;

/// carries out what the control thread decides, on the traffic threads
#[derive(Clone)]
pub struct Executor {
    shared: Arc<Shared>,
    target: TargetClient,
    peers: PeerClient,
    runtime: Handle,
    /// stops of the running requests
    stops: Stops,
}

impl Executor {
    pub fn new(shared: Arc<Shared>, target: TargetClient, runtime: Handle) -> Self {
        Self {
            shared,
            target,
            peers: PeerClient::new(),
            runtime,
            stops: Stops::default(),
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
                let cx = RunContext {
                    order,
                    priority,
                    deadline,
                };
                self.count_start(&work, arrived, has_stalled);
                self.run(work, cx);
            }
            SidecarAction::StopRun { request } => self.stop_run(&request),
            SidecarAction::Reject { request, refusal } => self.refuse(&request, refusal),
            SidecarAction::RequestPermit {
                issuer,
                request,
                adapter,
            } => self.ask_permit(issuer, request, adapter),
            SidecarAction::ReturnPermit { issuer, request } => self.return_permit(issuer, request),
            SidecarAction::RespondToReserve { reply, response } => {
                self.shared.reserves.answer(reply, response)
            }
            SidecarAction::RespondToCancel { reply, outcome } => {
                self.shared.cancels.answer(reply, outcome)
            }
            SidecarAction::Drained => {
                self.shared.drained.send_replace(true);
            }
        }
    }

    fn with_engine<F, Fut>(&self, order: F)
    where
        F: FnOnce(Arc<dyn Engine>) -> Fut,
        Fut: std::future::Future<Output = SidecarEvent> + Send + 'static,
    {
        let TargetClient::Engine(engine) = &self.target else {
            return;
        };
        let event = order(engine.clone());
        let shared = self.shared.clone();
        self.runtime.spawn(async move { shared.tell(event.await) });
    }

    fn read_engine(&self) {
        self.with_engine(|engine| async move {
            let status = engine.status().await;
            if let Err(e) = &status {
                log::debug!("engine: not read: {e}");
            }
            SidecarEvent::EngineRead(status.ok())
        });
    }

    fn take_fence(&self, order: OrderFence) {
        self.with_engine(|engine| async move {
            let result = engine.take_fence(order).await;
            log::info!("engine: fence {} taken: {}", order.fence, said(&result));
            SidecarEvent::FenceTakeEnded {
                incarnation: order.incarnation,
                fence: order.fence,
                result: order_result(&result),
            }
        });
    }

    fn load(&self, adapter: AdapterKey, order: OrderFence) {
        self.with_engine(|engine| async move {
            let started = clock::now();
            let result = engine.load(order, &adapter).await;
            log::info!("slots: load of {adapter}: {}", said(&result));
            SidecarEvent::LoadEnded {
                adapter,
                incarnation: order.incarnation,
                result: order_result(&result),
                duration: clock::elapsed(started),
            }
        });
    }

    fn unload(&self, adapter: AdapterKey, order: OrderFence) {
        self.with_engine(|engine| async move {
            let result = engine.unload(order, &adapter).await;
            log::info!("slots: unload of {adapter}: {}", said(&result));
            SidecarEvent::UnloadEnded {
                adapter,
                incarnation: order.incarnation,
                result: order_result(&result),
            }
        });
    }

    fn run(&self, work: Box<WorkOrder>, cx: RunContext) {
        let stop = CancellationToken::new();
        self.stops().insert(work.request.clone(), stop.clone());
        let (stream, _) = self.shared.hub.open(&work.request, work.reserved);
        let shared = self.shared.clone();
        let target = self.target.clone();
        let stops = self.stops.clone();
        self.runtime.spawn(async move {
            let request = work.request.clone();
            let end = match (target, work.work) {
                (TargetClient::Engine(engine), Work::Generate(work)) => {
                    let runner = EngineRunner::new(engine, stream, request.clone(), work);
                    runner.run(cx, stop).await
                }
                (TargetClient::Service(service), Work::Call(work)) => {
                    run_service(service, stream, &request, work, cx, stop).await
                }
                _ => wrong_target(),
            };
            let mut stops = stops.lock().unwrap_or_else(PoisonError::into_inner);
            stops.remove(&request);
            drop(stops);
            shared.tell(SidecarEvent::RunEnded { request, end });
        });
    }

    fn stop_run(&self, request: &RequestId) {
        if let Some(stop) = self.stops().get(request) {
            stop.cancel();
        }
    }

    fn refuse(&self, request: &RequestId, refusal: Refusal) {
        log::debug!("queue: {request} refused: {refusal}");
        self.shared.metrics.on_refused(&refusal);
        if let Some(stream) = self.shared.hub.get(request) {
            stream.push(FrameBody::Refused(refusal));
        }
    }

    fn ask_permit(&self, giver: SocketAddr, ask: PermitRequest, adapter: AdapterKey) {
        let shared = self.shared.clone();
        let peers = self.peers.clone();
        self.runtime.spawn(async move {
            let answer = peers.call(giver, path::PERMIT, &ask, PERMIT_TIMEOUT).await;
            if let Err(e) = &answer {
                log::warn!("permits: no answer for {adapter}: {e}");
            }
            let response = answer.ok();
            shared.tell(SidecarEvent::PermitRequestEnded { adapter, response });
        });
    }

    fn return_permit(&self, giver: SocketAddr, ask: PermitRequest) {
        let peers = self.peers.clone();
        self.runtime.spawn(async move {
            // a lost return costs the rest of the lease only
            let _: Result<PermitResponse, _> =
                peers.call(giver, path::PERMIT, &ask, PERMIT_TIMEOUT).await;
        });
    }

    fn count_start(&self, work: &WorkOrder, arrived: Instant, stalled: bool) {
        let of = GroupClass {
            group: work.group.clone(),
            class: work.class.clone(),
        };
        let wait = clock::elapsed(arrived);
        self.shared.metrics.on_wait(&of, wait);
        if stalled {
            self.shared.metrics.on_load_stall(&of, wait);
        }
        let report = self.shared.report.load();
        let metrics = &self.shared.metrics;
        metrics.on_batch(report.running, report.max_running);
    }

    fn stops(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, CancellationToken>> {
        self.stops.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn order_result(result: &Result<(), EngineError>) -> OrderResult {
    match result {
        Ok(()) => OrderResult::Done,
        Err(e) => e.order_result(),
    }
}

fn said(result: &Result<(), EngineError>) -> String {
    match result {
        Ok(()) => "done".to_string(),
        Err(e) => e.to_string(),
    }
}

fn wrong_target() -> RunEnd {
    RunEnd {
        outcome: Outcome::NotRun,
        failure: Some(Reason::BadRequest),
        detail: "work of another kind than the target's".to_string(),
        tokens: 0,
        duration: Duration::ZERO,
        may_still_run: false,
    }
}
