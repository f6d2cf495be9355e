use {
    crate::serving::{lock, serve_router, Serving},
    anyhow::Result,
    chalkcart_transport::server::{bytes_reply, read_body, text_reply, SharedData},
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::*,
        router::{build_router, Router},
        state::State,
    },
    http::{StatusCode, Uri},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::watch, time::sleep},
};

/// Service that echoes the body of a call and counts its runs.
#[derive(Debug)]
pub struct ServiceStandIn {
    pub state: Arc<ServiceState>,
    serving: Serving,
}

#[derive(Debug)]
pub struct ServiceState {
    /// Number of runs by body; tests use unique bodies.
    runs: Mutex<HashMap<Vec<u8>, u32>>,
    delay: Mutex<Duration>,
    /// Calls wait while this is true.
    paused: watch::Sender<bool>,
    total_runs: watch::Sender<u64>,
}

impl ServiceStandIn {
    pub async fn start(delay: Duration) -> Result<Self> {
        let state = Arc::new(ServiceState {
            runs: Mutex::new(HashMap::new()),
            delay: Mutex::new(delay),
            paused: watch::Sender::new(false),
            total_runs: watch::Sender::new(0),
        });
        let serving = serve_router(new_router(state.clone())).await?;
        Ok(Self { state, serving })
    }
    pub fn addr(&self) -> SocketAddr {
        self.serving.addr
    }
    /// Returns how often a call with this body ran.
    pub fn runs(&self, body: &[u8]) -> u32 {
        lock(&self.state.runs).get(body).copied().unwrap_or(0)
    }
    /// Returns the number of bodies that ran more than once.
    pub fn duplicate_runs(&self) -> usize {
        lock(&self.state.runs).values().filter(|n| **n > 1).count()
    }
    pub fn total_runs(&self) -> u64 {
        *self.state.total_runs.borrow()
    }
    /// Pauses or resumes calls; a paused call already counts as run.
    pub fn set_paused(&self, paused: bool) {
        self.state.paused.send_replace(paused);
    }
    /// Waits until this number of calls have run.
    pub async fn wait_for_runs(&self, total_runs: u64) {
        let mut seen = self.state.total_runs.subscribe();
        // the sender lives as long as this stand-in
        let _ = seen.wait_for(|t| *t >= total_runs).await;
    }
}

fn new_router(state: Arc<ServiceState>) -> Router {
    let middleware = StateMiddleware::new(SharedData::new(state));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post("/service/call/*").to_async(call);
    })
}

async fn call(mut state: State) -> HandlerResult {
    let service = SharedData::<ServiceState>::of(&state);
    let _request = Uri::borrow_from(&state).path();
    let body = match read_body(&mut state).await {
        Ok(body) => body,
        Err(e) => return Ok((state, text_reply(StatusCode::BAD_REQUEST, e.to_string()))),
    };
    *lock(&service.runs).entry(body.to_vec()).or_insert(0) += 1;
    service.total_runs.send_modify(|total| *total += 1);
    let mut paused = service.paused.subscribe();
    // the sender lives as long as the state
    let _ = paused.wait_for(|paused| !paused).await;
    let delay = *lock(&service.delay);
    sleep(delay).await;
    let reply = bytes_reply(StatusCode::OK, "application/octet-stream", body);
    Ok((state, reply))
}
