use {
    super::handlers,
    crate::app::Shared,
    chalkcart_protocol::peer::path,
    chalkcart_transport::server::{pages, SharedData},
    gotham::{
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::*,
        router::{build_router, Router},
    },
    std::sync::Arc,
};

/// Returns the routes of the sidecar.
pub fn new_router(shared: Arc<Shared>) -> Router {
    let middleware = StateMiddleware::new(SharedData::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post(path::RUN).to_async(handlers::run);
        route.post(path::RESUME).to_async(handlers::resume);
        route.post(path::RESERVE).to_async(handlers::reserve);
        route.post(path::CANCEL).to_async(handlers::cancel);
        route.post(path::REPORT).to_async(handlers::report);
        route.get("/metrics").to_async(pages::metrics::<Shared>);
        route.get("/healthz").to_async(pages::healthz);
        route.get("/readyz").to_async(pages::readyz::<Shared>);
    })
}
