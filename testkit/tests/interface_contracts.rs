//! the adapters to engines, plain services and the platform against their
//! stand-ins, with the fault cases in tables

use {
    anyhow::Result,
    bytes::Bytes,
    chalkcart_coordination::{
        sidecar::{OrderFence, OrderResult},
        slots::AdapterKey,
    },
    chalkcart_protocol::peer::GenerateWork,
    chalkcart_state::{config::Change, ids::WeightsDigest},
    chalkcart_testkit::{
        configs::Documents,
        engine::{EngineSettings, EngineStandIn},
        platform::PlatformStandIn,
        service::ServiceStandIn,
        store::{StoreSettings, WeightStore},
    },
    chalkcart_transport::{
        engine::{Engine, EngineError, EngineRun, EventBody, HttpEngine},
        platform::{BoxList, ConfigSource, HttpPlatform, PlatformError},
        service::{HttpService, PlainService, ServiceError},
    },
    futures::StreamExt,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

const FENCE: u64 = 10;
const LIMIT: Duration = Duration::from_secs(5);

fn key(number: u32) -> AdapterKey {
    AdapterKey {
        adapter: format!("loan-{number}"),
        version: 1,
        digest: WeightsDigest::of(&number.to_be_bytes()),
    }
}

fn run(number: u32, request: &str, tokens: u32) -> EngineRun {
    let key = key(number);
    EngineRun {
        request: request.to_string(),
        work: GenerateWork {
            adapter: key.adapter,
            version: key.version,
            digest: key.digest,
            base_model: "base".to_string(),
            prompt: request.to_string(),
            max_tokens: tokens,
            generated: Vec::new(),
        },
        priority: 0,
    }
}

/// an engine of two slots whose fence is taken
async fn fenced_engine() -> Result<(EngineStandIn, HttpEngine, OrderFence, Arc<WeightStore>)> {
    let store = Arc::new(WeightStore::new(StoreSettings {
        loads_per_second: 1_000.0,
        load_time: Duration::from_millis(10),
        ..StoreSettings::default()
    }));
    let settings = EngineSettings {
        slots: 2,
        ..EngineSettings::default()
    };
    let stand_in = EngineStandIn::start(settings, store.clone()).await?;
    let engine = HttpEngine::new(stand_in.addr());
    let order = OrderFence {
        incarnation: engine.status().await?.incarnation,
        fence: FENCE,
    };
    engine.take_fence(order).await?;
    Ok((stand_in, engine, order, store))
}

fn result_of(result: Result<(), EngineError>) -> OrderResult {
    match result {
        Ok(()) => OrderResult::Done,
        Err(e) => e.order_result(),
    }
}

#[tokio::test]
async fn an_engine_obeys_only_the_fence_that_it_holds() -> Result<()> {
    let (_stand_in, engine, order, _store) = fenced_engine().await?;
    let lower = OrderFence {
        fence: FENCE - 1,
        ..order
    };
    let higher = OrderFence {
        fence: FENCE + 1,
        ..order
    };
    let earlier = OrderFence {
        incarnation: order.incarnation - 1,
        ..order
    };
    let cases = [
        ("its own", order, OrderResult::Done),
        ("lower", lower, OrderResult::Fenced),
        ("higher, not taken", higher, OrderResult::Fenced),
        ("of an earlier incarnation", earlier, OrderResult::Fenced),
    ];
    for (case, order, expected) in cases {
        assert_eq!(
            result_of(engine.load(order, &key(1)).await),
            expected,
            "load: {case}"
        );
        assert_eq!(
            result_of(engine.unload(order, &key(1)).await),
            expected,
            "unload: {case}"
        );
    }
    for (case, order) in [("lower", lower), ("of an earlier incarnation", earlier)] {
        assert_eq!(
            result_of(engine.take_fence(order).await),
            OrderResult::Fenced,
            "{case}"
        );
    }
    assert_eq!(
        result_of(engine.take_fence(higher).await),
        OrderResult::Done
    );
    assert_eq!(
        result_of(engine.load(order, &key(1)).await),
        OrderResult::Fenced
    );
    Ok(())
}

#[tokio::test]
async fn an_engine_says_what_it_did_not_do() -> Result<()> {
    let (stand_in, engine, order, store) = fenced_engine().await?;
    store.fail_next(1);
    assert_eq!(
        result_of(engine.load(order, &key(1)).await),
        OrderResult::Failed
    );
    engine.load(order, &key(1)).await?;
    engine.load(order, &key(2)).await?;
    assert_eq!(
        result_of(engine.load(order, &key(3)).await),
        OrderResult::Failed
    );
    assert_eq!(
        result_of(engine.unload(order, &key(3)).await),
        OrderResult::Failed
    );
    let refused = engine.generate(order, &run(3, "not loaded", 1)).await;
    assert!(refused.is_err_and(|e| e.proves_not_done()));
    assert_eq!(stand_in.runs("not loaded"), 0);
    let unknown = engine.resume(&"never sent".to_string(), 0).await;
    assert!(matches!(unknown, Err(EngineError::Refused(_))));
    Ok(())
}

#[tokio::test]
async fn a_restarted_engine_is_empty_and_refuses_earlier_orders() -> Result<()> {
    let (stand_in, engine, order, _store) = fenced_engine().await?;
    engine.load(order, &key(1)).await?;
    stand_in.restart();
    let status = engine.status().await?;
    assert_ne!(status.incarnation, order.incarnation);
    assert!(status.loaded.is_empty());
    assert_eq!(
        result_of(engine.load(order, &key(1)).await),
        OrderResult::Fenced
    );
    Ok(())
}

#[tokio::test]
async fn events_are_streamed_resumed_and_cancelled() -> Result<()> {
    let (_stand_in, engine, order, _store) = fenced_engine().await?;
    engine.load(order, &key(1)).await?;
    let mut events = engine.generate(order, &run(1, "short", 3)).await?;
    let mut seen = Vec::new();
    while let Some(event) = events.next().await {
        seen.push(event?);
    }
    let sequences: Vec<u64> = seen.iter().map(|e| e.sequence).collect();
    assert_eq!(sequences, [0, 1, 2, 3]);
    assert!(matches!(seen[3].body, EventBody::Finished(_)));
    let rest = engine.resume(&"short".to_string(), 2).await?;
    assert_eq!(rest.count().await, 2);
    let mut long = engine.generate(order, &run(1, "long", 10_000)).await?;
    long.next().await.expect("a token")?;
    engine.cancel(&"long".to_string()).await?;
    assert!(engine.status().await?.running.is_empty());
    engine.cancel(&"long".to_string()).await?;
    engine.cancel(&"never sent".to_string()).await?;
    Ok(())
}

#[tokio::test]
async fn a_service_is_called_once_and_a_dead_one_proves_that_it_was_not() -> Result<()> {
    let stand_in = ServiceStandIn::start(Duration::ZERO).await?;
    let service = HttpService::new(stand_in.addr());
    let body = Bytes::from_static(b"table");
    let answer = service
        .call(&"one".to_string(), body.clone(), LIMIT)
        .await?;
    assert_eq!((answer, stand_in.runs(&body)), (body.clone(), 1));
    stand_in.set_paused(true);
    let short = Duration::from_millis(50);
    let late = service.call(&"two".to_string(), body.clone(), short).await;
    assert!(matches!(late, Err(ServiceError::Client(e)) if !e.proves_not_sent()));
    assert_eq!(stand_in.runs(&body), 2);
    let dead = HttpService::new(SocketAddr::from(([127, 0, 0, 1], 1)));
    let refused = dead.call(&"three".to_string(), body, LIMIT).await;
    assert!(matches!(refused, Err(ServiceError::Client(e)) if e.proves_not_sent()));
    Ok(())
}

#[tokio::test]
async fn the_platform_is_read_watched_and_may_be_down_or_stale() -> Result<()> {
    let first = Documents::new(2)
        .with_group("branches", 1)
        .with_base_model("base")
        .with_adapters("loan", 4, "branches", "base");
    let stand_in = PlatformStandIn::start(first.clone()).await?;
    let platform = HttpPlatform::new(stand_in.addr());
    let root = platform.watch_root(0, Duration::ZERO).await?;
    assert_eq!(root.map(|r| r.generation), Some(1));
    assert!(platform
        .watch_root(1, Duration::from_millis(10))
        .await?
        .is_none());
    let shard = platform.shard(1).await?;
    assert_eq!(shard, *first.shards[1]);
    assert!(matches!(
        platform.shard(9).await,
        Err(PlatformError::Missing(_))
    ));
    let watch = platform.clone();
    let watched = tokio::spawn(async move { watch.watch_root(1, LIMIT).await });
    let change = Change::SetShare {
        group: "branches".to_string(),
        share: 3,
    };
    stand_in.publish(first.changed(&change)?);
    assert_eq!(watched.await??.map(|r| r.generation), Some(2));
    stand_in.set_stale(Some(first));
    let stale = platform.watch_root(0, Duration::ZERO).await?;
    assert_eq!(stale.map(|r| r.generation), Some(1));
    stand_in.set_down(true);
    assert!(matches!(
        platform.boxes().await,
        Err(PlatformError::Status { status: 503, .. })
    ));
    assert!(platform.watch_root(0, Duration::ZERO).await.is_err());
    assert_eq!(stand_in.state.calls.total(), 8);
    Ok(())
}
