use {
    super::{shared::Shared, views::follow},
    chalkcart_coordination::placement::PlacementEvent,
    chalkcart_protocol::peer::{path, AdapterDemand},
    chalkcart_transport::server::{frames_reply, message_reply, pages, read_message, SharedData},
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::*,
        router::{build_router, Router},
        state::State,
    },
    std::sync::Arc,
};

/// the routes of a sidecar that places adapters
pub fn new_router(shared: Arc<Shared>) -> Router {
    let middleware = StateMiddleware::new(SharedData::new(shared));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.post(path::DEMAND).to_async(demand);
        route.post(path::VIEWS).to_async(views);
        route.get("/healthz").to_async(pages::healthz);
    })
}

async fn demand(mut state: State) -> HandlerResult {
    let shared = SharedData::<Shared>::of(&state);
    let reply = match read_message::<AdapterDemand>(&mut state).await {
        Ok(demand) => {
            shared.handle(PlacementEvent::Demand(demand));
            shared.changed.notify_one();
            message_reply(&true)
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}

async fn views(state: State) -> HandlerResult {
    let shared = SharedData::<Shared>::of(&state);
    let reply = frames_reply(follow(&shared));
    Ok((state, reply))
}
