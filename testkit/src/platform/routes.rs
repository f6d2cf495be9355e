use {
    super::platform_stand_in::PlatformState,
    chalkcart_state::{config::ROOT_KEY, ids::Generation},
    chalkcart_transport::server::{json_reply, text_reply, Reply, SharedData},
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{single_middleware, single_pipeline},
        prelude::*,
        router::{build_router, Router},
        state::State,
    },
    http::{StatusCode, Uri},
    std::{sync::Arc, time::Duration},
};

pub fn new_router(state: Arc<PlatformState>) -> Router {
    let middleware = StateMiddleware::new(SharedData::new(state));
    let (chain, pipelines) = single_pipeline(single_middleware(middleware));
    build_router(chain, pipelines, |route| {
        route.get("/config/*").to_async(config);
        route.get("/boxes").to_async(boxes);
    })
}

async fn config(state: State) -> HandlerResult {
    let platform = SharedData::<PlatformState>::of(&state);
    platform.calls.count_config();
    let uri = Uri::borrow_from(&state).clone();
    let key = uri.path().trim_start_matches("/config/").to_string();
    let reply = match platform.is_down() {
        true => down(),
        false if key == ROOT_KEY => root(&platform, &uri).await,
        false => shard(&platform, &key),
    };
    Ok((state, reply))
}

async fn boxes(state: State) -> HandlerResult {
    let platform = SharedData::<PlatformState>::of(&state);
    platform.calls.count_list();
    let reply = match platform.is_down() {
        true => down(),
        false => json_reply(StatusCode::OK, &platform.visible_list()),
    };
    Ok((state, reply))
}

fn down() -> Reply {
    text_reply(StatusCode::SERVICE_UNAVAILABLE, "down")
}

async fn root(platform: &PlatformState, uri: &Uri) -> Reply {
    let known: Generation = query(uri, "after");
    let wait = Duration::from_millis(query(uri, "wait_ms"));
    platform.wait_for_newer(known, wait).await;
    if platform.is_down() {
        return down();
    }
    let root = platform.served_documents().root;
    match root.generation > known {
        true => json_reply(StatusCode::OK, &root),
        false => text_reply(StatusCode::NOT_MODIFIED, ""),
    }
}

fn shard(platform: &PlatformState, key: &str) -> Reply {
    let index = key
        .strip_prefix("shard/")
        .and_then(|i| i.parse::<usize>().ok());
    let documents = platform.served_documents();
    match index.and_then(|i| documents.shards.get(i)) {
        Some(shard) => json_reply(StatusCode::OK, shard.as_ref()),
        None => text_reply(StatusCode::NOT_FOUND, "no such document"),
    }
}

fn query(uri: &Uri, key: &str) -> u64 {
    let pairs = uri.query().unwrap_or_default().split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    let found = values.find(|(k, _)| *k == key);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
