use {
    super::{grpc::GrpcRoutes, handlers},
    crate::app::Shared,
    chalkcart_protocol::peer::path,
    chalkcart_transport::server::{pages, SharedData},
    gotham::{
        middleware::state::StateMiddleware,
        pipeline::{new_pipeline, single_pipeline},
        prelude::*,
        router::{build_router, Router},
    },
    std::sync::{Arc, Mutex},
};

const INFERENCE_PATH: &str = "/chalkcart.v1.Inference/:method";
const ADMIN_PATH: &str = "/chalkcart.v1.Admin/:method";

/// The gRPC routes, shared between connections.
pub struct SharedGrpcRoutes {
    routes: Mutex<GrpcRoutes>,
}

impl SharedGrpcRoutes {
    pub fn get(&self) -> GrpcRoutes {
        let routes = self.routes.lock();
        routes.unwrap_or_else(|e| e.into_inner()).clone()
    }
}

pub fn new_router(shared: Arc<Shared>) -> Router {
    let grpc = Arc::new(SharedGrpcRoutes {
        routes: Mutex::new(GrpcRoutes::new(shared.clone())),
    });
    let pipeline = new_pipeline()
        .add(StateMiddleware::new(SharedData::new(shared)))
        .add(StateMiddleware::new(SharedData::new(grpc)))
        .build();
    let (chain, pipelines) = single_pipeline(pipeline);
    build_router(chain, pipelines, |route| {
        route.post(INFERENCE_PATH).to_async(handlers::grpc);
        route.post(ADMIN_PATH).to_async(handlers::grpc);
        route.post(path::SYNC).to_async(handlers::sync);
        route.post(path::SHARD).to_async(handlers::shard);
        route.post(path::PERMIT).to_async(handlers::permit);
        route.get("/metrics").to_async(pages::metrics::<Shared>);
        route.get("/healthz").to_async(pages::healthz);
        route.get("/readyz").to_async(pages::readyz::<Shared>);
    })
}
