use {
    super::router::SharedGrpcRoutes,
    crate::app::Shared,
    chalkcart_protocol::peer::{
        PermitRequest, ShardRequest, ShardResponse, SyncRequest, SyncResponse,
    },
    chalkcart_state::{
        config::Root,
        fleet::{FleetList, Role},
    },
    chalkcart_transport::server::{message_reply, pages::bad_message, read_message, SharedData},
    gotham::{handler::HandlerResult, state::State},
    std::sync::Arc,
};

pub async fn grpc(state: State) -> HandlerResult {
    let routes = SharedData::<SharedGrpcRoutes>::of(&state);
    routes.get().serve(state).await
}

pub async fn sync(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<SyncRequest>(&mut state).await {
        Ok(request) => message_reply(&sync_response(&shared, &request)),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn shard(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<ShardRequest>(&mut state).await {
        Ok(request) => message_reply(&shard_response(&shared, &request)),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn permit(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<PermitRequest>(&mut state).await {
        Ok(request) => message_reply(&shared.control.request_permit(request).await),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

fn shared(state: &State) -> Arc<Shared> {
    SharedData::of(state)
}

fn sync_response(shared: &Shared, request: &SyncRequest) -> SyncResponse {
    let configuration = shared.active_config.configuration();
    let newer = configuration.filter(|c| c.generation() > request.generation);
    let list = shared.active_config.list();
    let newer_list = (list.version > request.list_version).then(|| match request.from_sidecar {
        true => entries_only(&list),
        false => FleetList::clone(&list),
    });
    SyncResponse {
        generation: shared.active_config.generation(),
        root: newer.map(|c| root_for(request, c.root())),
        list: newer_list,
    }
}

/// Returns the root to send, without the shard digests for sidecars: they make up most of it,
/// and sidecars don't look up adapters.
fn root_for(request: &SyncRequest, root: &Root) -> Root {
    let shards = match request.from_sidecar {
        true => Vec::new(),
        false => root.shards.clone(),
    };
    Root {
        shards,
        generation: root.generation,
        groups: root.groups.clone(),
        classes: root.classes.clone(),
        base_models: root.base_models.clone(),
        services: root.services.clone(),
        policy: root.policy.clone(),
    }
}

fn entries_only(list: &FleetList) -> FleetList {
    let entries = list.boxes.iter().filter(|b| b.role == Role::Entry);
    FleetList {
        version: list.version,
        boxes: entries.cloned().collect(),
    }
}

fn shard_response(shared: &Shared, request: &ShardRequest) -> ShardResponse {
    let configuration = shared.active_config.configuration();
    let found =
        configuration.filter(|c| c.root().shards.get(request.index) == Some(&request.digest));
    ShardResponse {
        shard: found.map(|c| c.shards()[request.index].to_shard()),
    }
}
