use {
    super::engine_state::{EngineState, SharedEngine},
    crate::{serving::lock, store::WeightStore},
    bytes::Bytes,
    chalkcart_state::ids::RequestId,
    chalkcart_transport::{
        engine::{
            AdapterOrder, CancelBody, CancelReply, EngineEvent, FenceBody, GenerateBody,
            OrderReply, ResumeBody,
        },
        server::{json_reply, read_json, text_reply, BodyError, Reply, SharedData},
    },
    futures::stream,
    gotham::{
        handler::HandlerResult,
        helpers::http::Body,
        middleware::state::StateMiddleware,
        pipeline::{new_pipeline, single_pipeline},
        prelude::*,
        router::{build_router, Router},
        state::State,
    },
    http::{Response, StatusCode, Uri},
    http_body::Frame,
    http_body_util::StreamBody,
    std::{
        io,
        sync::{Arc, Mutex},
        time::Instant,
    },
    tokio::sync::watch,
};

pub fn new_router(engine: SharedEngine, store: Arc<WeightStore>) -> Router {
    let pipeline = new_pipeline()
        .add(StateMiddleware::new(SharedData::new(engine)))
        .add(StateMiddleware::new(SharedData::new(store)))
        .build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.get("/engine/status").to_async(status);
        route.get("/engine/load").to_async(reported_batch_size);
        route.get("/engine/events").to_async(cache_events);
        route.post("/engine/fence").to_async(fence);
        route.post("/engine/load").to_async(load);
        route.post("/engine/unload").to_async(unload);
        route.post("/engine/generate").to_async(generate);
        route.post("/engine/resume").to_async(resume);
        route.post("/engine/cancel").to_async(cancel);
    })
}

fn engine(state: &State) -> SharedEngine {
    SharedData::<Mutex<EngineState>>::of(state)
}

fn success() -> Reply {
    json_reply(StatusCode::OK, &OrderReply::default())
}

fn bad_request(e: BodyError) -> Reply {
    text_reply(StatusCode::BAD_REQUEST, e.to_string())
}

async fn status(state: State) -> HandlerResult {
    let status = lock(&engine(&state)).status();
    Ok((state, json_reply(StatusCode::OK, &status)))
}

async fn reported_batch_size(state: State) -> HandlerResult {
    let running = lock(&engine(&state)).reported_batch_size(Instant::now());
    Ok((state, json_reply(StatusCode::OK, &running)))
}

async fn cache_events(state: State) -> HandlerResult {
    let query = Uri::borrow_from(&state).query().unwrap_or_default();
    let after = query.trim_start_matches("after=").parse().unwrap_or(0);
    let events = lock(&engine(&state))
        .cache
        .events_after(after, Instant::now());
    Ok((state, json_reply(StatusCode::OK, &events)))
}

async fn fence(mut state: State) -> HandlerResult {
    let reply = match read_json::<FenceBody>(&mut state).await {
        Ok(order) => {
            let result = lock(&engine(&state)).accept_fence(order);
            result.map_or_else(|e| e.reply(), |()| success())
        }
        Err(e) => bad_request(e),
    };
    Ok((state, reply))
}

async fn load(mut state: State) -> HandlerResult {
    let reply = match read_json::<AdapterOrder>(&mut state).await {
        Ok(order) => {
            let store = SharedData::<WeightStore>::of(&state);
            load_adapter(engine(&state), store, order).await
        }
        Err(e) => bad_request(e),
    };
    Ok((state, reply))
}

async fn load_adapter(engine: SharedEngine, store: Arc<WeightStore>, order: AdapterOrder) -> Reply {
    let begun = lock(&engine).begin_load(order.order);
    if let Err(e) = begun {
        return e.reply();
    }
    // a load continues after its caller disconnects
    let load_task = tokio::spawn(async move {
        let fetched = store.load().await;
        lock(&engine).end_load(order.order, order.adapter, fetched)
    });
    match load_task.await {
        Ok(Ok(())) => success(),
        Ok(Err(e)) => e.reply(),
        Err(e) => text_reply(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

async fn unload(mut state: State) -> HandlerResult {
    let reply = match read_json::<AdapterOrder>(&mut state).await {
        Ok(order) => {
            let result = lock(&engine(&state)).unload(order.order, &order.adapter);
            result.map_or_else(|e| e.reply(), |()| success())
        }
        Err(e) => bad_request(e),
    };
    Ok((state, reply))
}

async fn generate(mut state: State) -> HandlerResult {
    let reply = match read_json::<GenerateBody>(&mut state).await {
        Ok(body) => {
            let engine = engine(&state);
            let request = body.request.clone();
            let result = lock(&engine).generate(body);
            match result {
                Ok(()) => stream_events(engine, request, 0),
                Err(e) => e.reply(),
            }
        }
        Err(e) => bad_request(e),
    };
    Ok((state, reply))
}

async fn resume(mut state: State) -> HandlerResult {
    let reply = match read_json::<ResumeBody>(&mut state).await {
        Ok(body) => stream_events(engine(&state), body.request, body.from as usize),
        Err(e) => bad_request(e),
    };
    Ok((state, reply))
}

async fn cancel(mut state: State) -> HandlerResult {
    let reply = match read_json::<CancelBody>(&mut state).await {
        Ok(body) => {
            let state = lock(&engine(&state)).cancel(&body.request);
            json_reply(StatusCode::OK, &CancelReply { state })
        }
        Err(e) => bad_request(e),
    };
    Ok((state, reply))
}

/// Streams the events of one request and applies the engine's faults.
struct EventStream {
    engine: SharedEngine,
    request: RequestId,
    count: watch::Receiver<usize>,
    next: usize,
    sent: u32,
    held_back: Option<EngineEvent>,
    has_ended: bool,
}

impl EventStream {
    /// Returns the next event lines: `None` at the end, an error where the stream is cut.
    async fn next_lines(&mut self) -> Option<io::Result<Bytes>> {
        if self.has_ended {
            return None;
        }
        let next = self.next;
        if self.count.wait_for(|count| *count > next).await.is_err() {
            return Some(Err(io::Error::other("engine restarted")));
        }
        let (event, faults) = {
            let engine = lock(&self.engine);
            let event = engine.requests.get(&self.request)?.events[next].clone();
            (event, engine.faults)
        };
        if faults.cut_after.is_some_and(|n| self.sent >= n) {
            return Some(Err(io::Error::other("stream cut")));
        }
        self.next += 1;
        self.sent += 1;
        self.has_ended = !matches!(event.body, chalkcart_transport::engine::EventBody::Token(_));
        if faults.swap_events && !self.has_ended && self.held_back.is_none() {
            self.held_back = Some(event);
            return Some(Ok(Bytes::new()));
        }
        let mut lines = line(&event);
        if faults.duplicate_events {
            lines.extend(line(&event));
        }
        if let Some(held_back) = self.held_back.take() {
            lines.extend(line(&held_back));
        }
        Some(Ok(lines.into()))
    }
}

fn line(event: &EngineEvent) -> Vec<u8> {
    let mut line = serde_json::to_vec(event).unwrap_or_default();
    line.push(b'\n');
    line
}

fn stream_events(engine: SharedEngine, request: RequestId, from: usize) -> Reply {
    let count = lock(&engine)
        .requests
        .get(&request)
        .map(|r| r.count.subscribe());
    let Some(count) = count else {
        return super::order_error::OrderError::UnknownRequest.reply();
    };
    let event_stream = EventStream {
        engine,
        request,
        count,
        next: from,
        sent: 0,
        held_back: None,
        has_ended: false,
    };
    let lines = stream::unfold(event_stream, |mut event_stream| async move {
        let lines = event_stream.next_lines().await?;
        Some((lines.map(Frame::data), event_stream))
    });
    Response::new(Body::new(StreamBody::new(lines)))
}
