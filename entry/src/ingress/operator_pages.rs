use {
    super::shared::Shared,
    chalkcart_transport::server::{pages, SharedData},
    gotham::{
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::*,
        router::{build_router, Router},
    },
    std::sync::Arc,
};

/// Builds the router for the platform's readiness check.
pub fn new_readiness_router(shared: Arc<Shared>) -> Router {
    let path = shared.dialect.readiness_path();
    let middleware = StateMiddleware::new(SharedData::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get(path).to_async(pages::readyz::<Shared>);
    })
}

/// Builds the router for metrics and health checks.
pub fn new_metrics_router(shared: Arc<Shared>) -> Router {
    let middleware = StateMiddleware::new(SharedData::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/metrics").to_async(pages::metrics::<Shared>);
        route.get("/healthz").to_async(pages::healthz);
        route.get("/readyz").to_async(pages::readyz::<Shared>);
    })
}
