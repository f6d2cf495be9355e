use {
    super::{shared::Shared, views::view_updates},
    crate::{
        crashes::{crash_reports, CrashAggregator},
        relay::{relay_demands, relay_published, relay_views, RelayHub},
        stream_origins::{stream_origins, KeptOrigins},
    },
    chalkcart_coordination::{limits::UsageAggregator, placement::PlacementEvent},
    chalkcart_protocol::peer::{path, AdapterDemand, AdmissionReport, UsageReport},
    chalkcart_transport::{
        clock,
        server::{
            caller_encoding, frames_reply, message_reply, pages, read_message, PeerEncodingsByIp,
            SharedData,
        },
    },
    gotham::{
        handler::HandlerResult,
        middleware::state::StateMiddleware,
        pipeline::{new_pipeline, single_pipeline},
        prelude::*,
        router::{build_router, Router},
        state::State,
    },
    std::sync::{Arc, Mutex},
};

/// Usage of client accounts over all entries, while this sidecar is the aggregator.
pub type UsageTotals = Mutex<UsageAggregator>;

/// Returns the routes of a sidecar that places adapters and may act as a relay and as an
/// aggregator.
pub fn new_router(
    shared: Arc<Shared>,
    relay: Arc<RelayHub>,
    usage: Arc<UsageTotals>,
    crashes: Arc<CrashAggregator>,
) -> Router {
    let pipeline = new_pipeline()
        .add(StateMiddleware::new(SharedData::new(Arc::new(
            PeerEncodingsByIp::default(),
        ))))
        .add(StateMiddleware::new(SharedData::new(shared)))
        .add(StateMiddleware::new(SharedData::new(relay)))
        .add(StateMiddleware::new(SharedData::new(usage)))
        .add(StateMiddleware::new(SharedData::new(crashes)))
        .add(StateMiddleware::new(SharedData::new(Arc::new(
            KeptOrigins::default(),
        ))));
    let (chain, pipelines) = single_pipeline(pipeline.build());
    build_router(chain, pipelines, |route| {
        route.post(path::DEMAND).to_async(demand);
        route.post(path::VIEWS).to_async(views);
        route.post(path::RELAY_DEMANDS).to_async(relay_demands);
        route.post(path::RELAY_VIEWS).to_async(relay_views);
        route.post(path::RELAY_PUBLISHED).to_async(relay_published);
        route.post(path::USAGE).to_async(usage_report);
        route.post(path::INTAKE).to_async(admission_report);
        route.post(path::CRASHES).to_async(crash_reports);
        route.post(path::STREAM_ORIGINS).to_async(stream_origins);
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
    let reply = frames_reply(view_updates(&shared), caller_encoding(&state));
    Ok((state, reply))
}

async fn admission_report(mut state: State) -> HandlerResult {
    let shared = SharedData::<Shared>::of(&state);
    let reply = match read_message::<AdmissionReport>(&mut state).await {
        Ok(report) => message_reply(&shared.control().on_admission_report(&report, clock::now())),
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}

async fn usage_report(mut state: State) -> HandlerResult {
    let totals = SharedData::<UsageTotals>::of(&state);
    let reply = match read_message::<UsageReport>(&mut state).await {
        Ok(report) => {
            // No holder panics in the middle of an update.
            let mut aggregator = totals.lock().unwrap_or_else(|e| e.into_inner());
            message_reply(&aggregator.on_report(report, clock::now()))
        }
        Err(e) => pages::bad_message(&e),
    };
    Ok((state, reply))
}
