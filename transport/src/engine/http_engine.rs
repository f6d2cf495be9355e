use {
    super::{
        AdapterBody, CancelBody, CancelReply, Engine, EngineError, EngineEvents, EngineRun,
        FenceBody, GenerateBody, OrderReply, ResumeBody, RunningBody, StatusReply,
    },
    crate::client::{read_body, ClientError, ClientStep, HttpClient, ResponseLimits},
    async_trait::async_trait,
    chalkcart_coordination::{
        fence::{EngineStatus, RunningRequest},
        sidecar::OrderFence,
        slots::AdapterKey,
    },
    chalkcart_state::ids::{RequestId, Sequence},
    futures::{StreamExt, TryStreamExt},
    http::{Method, StatusCode},
    http_body_util::BodyExt,
    serde::{Deserialize, Serialize},
    std::{io, net::SocketAddr, time::Duration},
    tokio_util::{
        codec::{FramedRead, LinesCodec},
        io::StreamReader,
    },
};

const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// A refusal has one short message.
const REFUSAL_LIMITS: ResponseLimits = ResponseLimits {
    head: ORDER_TIMEOUT,
    pause: ORDER_TIMEOUT,
    total: ORDER_TIMEOUT,
    bytes: 64 * 1024,
};
const MAX_LINE_BYTES: usize = 1024 * 1024;

/// An engine that is called over HTTP with JSON bodies.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    http: HttpClient,
    addr: SocketAddr,
}

/// The body of an order for one adapter.
#[derive(Debug, Serialize, Deserialize)]
pub struct AdapterOrder {
    pub order: FenceBody,
    pub adapter: AdapterBody,
}

impl HttpEngine {
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            http: HttpClient::new(),
            addr,
        }
    }

    async fn order<Q: Serialize>(
        &self,
        path: &str,
        body: &Q,
        limit: Duration,
    ) -> Result<(), EngineError> {
        let reply = self
            .http
            .post_json::<Q, OrderReply>(self.addr, path, body, limit)
            .await?;
        match reply.status {
            StatusCode::OK => Ok(()),
            status => Err(refusal(self.addr, status, reply.body)),
        }
    }

    async fn events<Q: Serialize>(
        &self,
        path: &str,
        body: &Q,
    ) -> Result<EngineEvents, EngineError> {
        let addr = self.addr;
        let body =
            serde_json::to_vec(body).map_err(|e| ClientError::new(ClientStep::Connect, addr, e))?;
        let response = self
            .http
            .send(addr, Method::POST, path, "application/json", body.into())
            .await?;
        let status = response.status();
        if status != StatusCode::OK {
            let body = read_body(addr, response.into_body(), REFUSAL_LIMITS).await?;
            let reply: OrderReply = serde_json::from_slice(&body).map_err(|e| {
                ClientError::new(ClientStep::Decode, addr, format!("{status}: {e}"))
            })?;
            return Err(refusal(addr, status, reply));
        }
        let data = response.into_body().into_data_stream();
        let reader = StreamReader::new(data.map_err(io::Error::other));
        let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let events = lines.map(move |line| {
            let line = line.map_err(|e| ClientError::new(ClientStep::Receive, addr, e))?;
            let event = serde_json::from_str(&line)
                .map_err(|e| ClientError::new(ClientStep::Decode, addr, e))?;
            Ok(event)
        });
        Ok(Box::pin(events))
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn status(&self) -> Result<EngineStatus, EngineError> {
        let reply = self
            .http
            .get_json::<StatusReply>(self.addr, "/engine/status", ORDER_TIMEOUT)
            .await?;
        Ok(EngineStatus::from(reply.body))
    }

    async fn take_fence(&self, order: OrderFence) -> Result<(), EngineError> {
        let body = FenceBody::from(order);
        self.order("/engine/fence", &body, ORDER_TIMEOUT).await
    }

    async fn load(&self, order: OrderFence, adapter: &AdapterKey) -> Result<(), EngineError> {
        let body = AdapterOrder::new(order, adapter);
        self.order("/engine/load", &body, LOAD_TIMEOUT).await
    }

    async fn unload(&self, order: OrderFence, adapter: &AdapterKey) -> Result<(), EngineError> {
        let body = AdapterOrder::new(order, adapter);
        self.order("/engine/unload", &body, ORDER_TIMEOUT).await
    }

    async fn generate(
        &self,
        order: OrderFence,
        run: &EngineRun,
    ) -> Result<EngineEvents, EngineError> {
        let body = GenerateBody {
            order: order.into(),
            request: run.request.clone(),
            adapter: AdapterBody::from(&AdapterKey::from(&run.work)),
            prompt: run.work.prompt.clone(),
            generated: run.work.generated.clone(),
            max_tokens: run.work.max_tokens,
            priority: run.priority,
        };
        self.events("/engine/generate", &body).await
    }

    async fn resume(
        &self,
        request: &RequestId,
        from: Sequence,
    ) -> Result<EngineEvents, EngineError> {
        let body = ResumeBody {
            request: request.clone(),
            from,
        };
        self.events("/engine/resume", &body).await
    }

    async fn cancel(&self, request: &RequestId) -> Result<(), EngineError> {
        let body = CancelBody {
            request: request.clone(),
        };
        self.http
            .post_json::<_, CancelReply>(self.addr, "/engine/cancel", &body, ORDER_TIMEOUT)
            .await?;
        Ok(())
    }
}

/// Returns the error of an order that was not executed. A status alone is no proof of that: an
/// engine that fails halfway has one too, so the reason must be there.
fn refusal(addr: SocketAddr, status: StatusCode, reply: OrderReply) -> EngineError {
    if reply.refused.is_empty() {
        let detail = format!("{status} without a reason");
        return ClientError::new(ClientStep::Decode, addr, detail).into();
    }
    match status {
        StatusCode::CONFLICT => EngineError::Fenced(reply.refused),
        _ => EngineError::Refused(reply.refused),
    }
}

impl AdapterOrder {
    fn new(order: OrderFence, adapter: &AdapterKey) -> Self {
        Self {
            order: order.into(),
            adapter: adapter.into(),
        }
    }
}

impl From<OrderFence> for FenceBody {
    fn from(order: OrderFence) -> Self {
        Self {
            incarnation: order.incarnation,
            fence: order.fence,
        }
    }
}

impl From<&AdapterKey> for AdapterBody {
    fn from(key: &AdapterKey) -> Self {
        Self {
            adapter: key.adapter.clone(),
            version: key.version,
            digest: key.digest,
        }
    }
}

impl From<AdapterBody> for AdapterKey {
    fn from(body: AdapterBody) -> Self {
        Self {
            adapter: body.adapter,
            version: body.version,
            digest: body.digest,
        }
    }
}

impl From<StatusReply> for EngineStatus {
    fn from(reply: StatusReply) -> Self {
        Self {
            incarnation: reply.incarnation,
            fence: reply.fence,
            base_model: reply.base_model,
            slots: reply.slots,
            max_batch: reply.max_batch,
            loaded: reply.loaded.into_iter().map(Into::into).collect(),
            running: reply.running.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<RunningBody> for RunningRequest {
    fn from(body: RunningBody) -> Self {
        Self {
            request: body.request,
            adapter: body.adapter.into(),
        }
    }
}
