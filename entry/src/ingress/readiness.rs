use {
    super::shared::Shared,
    chalkcart_transport::server::{text_reply, SharedData},
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::*,
        router::{build_router, Router},
        state::State,
    },
    http::StatusCode,
    std::sync::Arc,
};

/// the platform's question whether clients may be sent here
pub fn new_router(shared: Arc<Shared>) -> Router {
    let path = shared.dialect.readiness_path();
    let middleware = StateMiddleware::new(SharedData::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get(path).to_async(ready);
    })
}

async fn ready(state: State) -> HandlerResult {
    let reply = match SharedData::<Shared>::of(&state).is_ready() {
        true => text_reply(StatusCode::OK, "ready\n"),
        false => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    Ok((state, reply))
}
