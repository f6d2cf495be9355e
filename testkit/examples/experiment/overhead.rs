//! what entry and sidecar add to a request, beside the same load sent
//! straight to the engine stand-in, in one run

use {
    crate::fleet::{clients, Plan},
    anyhow::{ensure, Result},
    chalkcart_coordination::{sidecar::OrderFence, slots::AdapterKey},
    chalkcart_protocol::{peer::GenerateWork, v1::GenerateRequest},
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings},
        configs::Documents,
        engine::{EngineSettings, EngineStandIn},
        load::generate,
        store::{StoreSettings, WeightStore},
    },
    chalkcart_transport::engine::{Engine, EngineRun, HttpEngine},
    futures::StreamExt,
    hdrhistogram::Histogram,
    serde_json::{json, Value},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TOKENS: u32 = 16;
/// requests one after the other, each way in turn
const PAIRS: u64 = 400;
const FENCE: u64 = 1;

fn engine_settings() -> EngineSettings {
    EngineSettings {
        step: Duration::from_millis(2),
        step_per_request: Duration::ZERO,
        ..EngineSettings::default()
    }
}

pub async fn run(_: &Plan) -> Result<Vec<Value>> {
    let documents = Documents::new(4)
        .with_group("branches", 1)
        .with_base_model("base")
        .with_adapters("loan", 1, "branches", "base");
    let cluster = Cluster::start(ClusterSettings {
        documents: documents.clone(),
        entries: 1,
        engines: vec![engine_settings()],
        services: Vec::new(),
        ..ClusterSettings::default()
    })
    .await?;
    let store = Arc::new(WeightStore::new(StoreSettings::default()));
    let bare = EngineStandIn::start(engine_settings(), store).await?;
    let direct = Direct::start(&bare, &documents).await?;
    let mut client = clients(&cluster).await?.remove(0);
    let mut through = Figures::new()?;
    let mut straight = Figures::new()?;
    for number in 0..PAIRS {
        let req = prompt(number);
        let answer = generate(&mut client, req.clone()).await;
        let answer = answer.map_err(|e| anyhow::anyhow!("{}", e.status))?;
        through.add(answer.time_to_first_token, answer.duration)?;
        let (first, took) = direct.generate(&req).await?;
        straight.add(first, took)?;
    }
    Ok(vec![
        through.row("through entry and sidecar"),
        straight.row("straight"),
    ])
}

fn prompt(number: u64) -> GenerateRequest {
    GenerateRequest {
        group: "branches".to_string(),
        class: "counter".to_string(),
        adapter: "loan-0".to_string(),
        version: 2,
        prompt: format!("overhead {number}"),
        max_tokens: TOKENS,
        ..GenerateRequest::default()
    }
}

/// a caller of the engine stand-in itself
struct Direct {
    engine: HttpEngine,
    order: OrderFence,
    adapter: AdapterKey,
}

impl Direct {
    async fn start(stand_in: &EngineStandIn, documents: &Documents) -> Result<Self> {
        let engine = HttpEngine::new(stand_in.addr());
        let incarnation = engine.status().await?.incarnation;
        let order = OrderFence {
            incarnation,
            fence: FENCE,
        };
        engine.take_fence(order).await?;
        let adapters = documents.shards.iter().flat_map(|s| s.adapters.iter());
        let version = adapters.flat_map(|a| a.versions.last()).next();
        let version = *version.expect("one adapter");
        let adapter = AdapterKey {
            adapter: "loan-0".to_string(),
            version: version.version,
            digest: version.digest,
        };
        engine.load(order, &adapter).await?;
        Ok(Self {
            engine,
            order,
            adapter,
        })
    }

    async fn generate(&self, req: &GenerateRequest) -> Result<(Duration, Duration)> {
        let started = Instant::now();
        let run = EngineRun {
            request: req.prompt.clone(),
            work: GenerateWork {
                adapter: self.adapter.adapter.clone(),
                version: self.adapter.version,
                digest: self.adapter.digest,
                base_model: "base".to_string(),
                prompt: req.prompt.clone(),
                max_tokens: req.max_tokens,
                generated: Vec::new(),
            },
            priority: 0,
        };
        let mut events = self.engine.generate(self.order, &run).await?;
        let mut first = None;
        let mut count = 0;
        while let Some(event) = events.next().await {
            event?;
            first.get_or_insert_with(|| started.elapsed());
            count += 1;
        }
        ensure!(count == TOKENS + 1, "{count} events");
        Ok((first.unwrap_or_default(), started.elapsed()))
    }
}

struct Figures {
    first: Histogram<u64>,
    total: Histogram<u64>,
}

impl Figures {
    fn new() -> Result<Self> {
        Ok(Self {
            first: Histogram::new(3)?,
            total: Histogram::new(3)?,
        })
    }
    fn add(&mut self, first: Duration, total: Duration) -> Result<()> {
        self.first.record(first.as_micros() as u64)?;
        self.total.record(total.as_micros() as u64)?;
        Ok(())
    }
    fn row(&self, way: &str) -> Value {
        let ms = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1e3
        };
        json!({
            "way": way,
            "requests": self.first.len(),
            "first token p50 ms": ms(&self.first, 0.5),
            "first token p99 ms": ms(&self.first, 0.99),
            "whole p50 ms": ms(&self.total, 0.5),
            "whole p99 ms": ms(&self.total, 0.99),
        })
    }
}
