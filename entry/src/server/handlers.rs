use {
    super::router::GrpcServices,
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
    let services = SharedData::<GrpcServices>::of(&state);
    services.get().serve(state).await
}

pub async fn sync(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<SyncRequest>(&mut state).await {
        Ok(ask) => message_reply(&answer_sync(&shared, &ask)),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn shard(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<ShardRequest>(&mut state).await {
        Ok(ask) => message_reply(&answer_shard(&shared, &ask)),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

pub async fn permit(mut state: State) -> HandlerResult {
    let shared = shared(&state);
    let reply = match read_message::<PermitRequest>(&mut state).await {
        Ok(ask) => message_reply(&shared.control.request_permit(ask).await),
        Err(e) => bad_message(&e),
    };
    Ok((state, reply))
}

fn shared(state: &State) -> Arc<Shared> {
    SharedData::of(state)
}

fn answer_sync(shared: &Shared, ask: &SyncRequest) -> SyncResponse {
    let configuration = shared.active_config.configuration();
    let newer = configuration.filter(|c| c.generation() > ask.generation);
    let list = shared.active_config.list();
    let newer_list = (list.version > ask.list_version).then(|| match ask.from_sidecar {
        true => entries_of(&list),
        false => FleetList::clone(&list),
    });
    SyncResponse {
        generation: shared.active_config.generation(),
        root: newer.map(|c| root_for(ask, c.root())),
        list: newer_list,
    }
}

/// sidecars don't look adapters up, and most of a root is digests of shards
fn root_for(ask: &SyncRequest, root: &Root) -> Root {
    let shards = match ask.from_sidecar {
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

fn entries_of(list: &FleetList) -> FleetList {
    let entries = list.boxes.iter().filter(|b| b.role == Role::Entry);
    FleetList {
        version: list.version,
        boxes: entries.cloned().collect(),
    }
}

fn answer_shard(shared: &Shared, ask: &ShardRequest) -> ShardResponse {
    let configuration = shared.active_config.configuration();
    let found = configuration.filter(|c| c.root().shards.get(ask.index) == Some(&ask.digest));
    ShardResponse {
        shard: found.map(|c| c.shards()[ask.index].to_shard()),
    }
}
