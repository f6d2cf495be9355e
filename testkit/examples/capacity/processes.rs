//! Processor time and memory of real processes.

use {
    crate::fit::Slope,
    anyhow::{Context, Result},
    chalkcart_protocol::v1::GenerateRequest,
    chalkcart_testkit::{
        cluster::{Cluster, ClusterSettings, Node},
        configs::Documents,
        engine::EngineSettings,
        load::generate,
    },
    futures::future::join_all,
    std::{fs, time::Duration},
    tokio::{runtime::Runtime, time::sleep},
};

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const IDLE_SIZES: [usize; 3] = [8, 16, 32];
const IDLE_DURATION: Duration = Duration::from_secs(15);
const TOKENS: [u32; 3] = [4, 64, 256];
const REQUESTS: usize = 600;
const CONCURRENCY: usize = 40;
const STREAMS: [usize; 3] = [40, 120, 240];

pub fn measure() -> Result<Vec<Slope>> {
    let runtime = Runtime::new()?;
    runtime.block_on(async {
        let mut slopes = measure_idle().await?;
        slopes.extend(measure_requests().await?);
        slopes.extend(measure_streams().await?);
        Ok(slopes)
    })
}

/// Returns the processor time that a process has used, in ms.
fn cpu_ms(node: &Node) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{}/stat", node.process.id()))?;
    let (_, rest) = text.rsplit_once(')').context("read /proc")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks * 1_000.0 / TICKS_PER_S)
}

/// Returns the resident memory of a process, in KiB.
fn memory_kib(node: &Node) -> Result<f64> {
    let text = fs::read_to_string(format!("/proc/{}/status", node.process.id()))?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    Ok(value.context("read VmRSS")?.parse()?)
}

fn fleet(entries: usize, engines: usize, engine: EngineSettings) -> ClusterSettings {
    ClusterSettings {
        documents: Documents::new(4)
            .with_group("branches", 1)
            .with_base_model("base")
            .with_adapters("loan", 4, "branches", "base"),
        entries,
        engines: vec![engine; engines],
        services: Vec::new(),
        ..ClusterSettings::default()
    }
}

async fn measure_idle() -> Result<Vec<Slope>> {
    let (mut entry, mut sidecar) = (Vec::new(), Vec::new());
    let (mut entry_memory, mut sidecar_memory) = (Vec::new(), Vec::new());
    for size in IDLE_SIZES {
        let cluster = Cluster::start(fleet(2, size, EngineSettings::default())).await?;
        let before = (
            cpu_ms(&cluster.entries[0])?,
            cpu_ms(&cluster.engines[0].sidecar)?,
        );
        sleep(IDLE_DURATION).await;
        let seconds = IDLE_DURATION.as_secs_f64();
        let x = size as f64;
        entry.push((x, (cpu_ms(&cluster.entries[0])? - before.0) / seconds));
        sidecar.push((
            x,
            (cpu_ms(&cluster.engines[0].sidecar)? - before.1) / seconds,
        ));
        entry_memory.push((x, memory_kib(&cluster.entries[0])?));
        sidecar_memory.push((x, memory_kib(&cluster.engines[0].sidecar)?));
    }
    Ok(vec![
        Slope::new(
            "idle entry, processor",
            "ms a second for each target",
            entry,
        ),
        Slope::new(
            "idle sidecar, processor",
            "ms a second for each target",
            sidecar,
        ),
        Slope::new("idle entry, memory", "KiB a target", entry_memory),
        Slope::new("idle sidecar, memory", "KiB a target", sidecar_memory),
    ])
}

fn fast_engine() -> EngineSettings {
    EngineSettings {
        step: Duration::from_millis(2),
        step_per_request: Duration::ZERO,
        max_batch: 64,
        ..EngineSettings::default()
    }
}

fn prompt(number: usize, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        group: "branches".to_string(),
        class: "overnight".to_string(),
        adapter: format!("loan-{}", number % 4),
        version: 2,
        prompt: format!("capacity {number} {max_tokens}"),
        max_tokens,
        ..GenerateRequest::default()
    }
}

/// Measures the processor time of requests by their number of tokens: the slope is the time of a
/// token and the intercept that of a request.
async fn measure_requests() -> Result<Vec<Slope>> {
    let cluster = Cluster::start(fleet(1, 1, fast_engine())).await?;
    let (entry, sidecar) = (&cluster.entries[0], &cluster.engines[0].sidecar);
    let (mut entry_points, mut sidecar_points) = (Vec::new(), Vec::new());
    run(&cluster, 20, 4).await?;
    for tokens in TOKENS {
        let before = (cpu_ms(entry)?, cpu_ms(sidecar)?);
        run(&cluster, REQUESTS, tokens).await?;
        let per_request = |ms: f64| ms * 1_000.0 / REQUESTS as f64;
        entry_points.push((f64::from(tokens), per_request(cpu_ms(entry)? - before.0)));
        sidecar_points.push((f64::from(tokens), per_request(cpu_ms(sidecar)? - before.1)));
    }
    Ok(vec![
        Slope::new("entry, processor of a request", "µs a token", entry_points),
        Slope::new(
            "sidecar, processor of a request",
            "µs a token",
            sidecar_points,
        ),
    ])
}

async fn run(cluster: &Cluster, requests: usize, tokens: u32) -> Result<()> {
    let client = cluster.client(0).await?;
    let callers = (0..CONCURRENCY).map(|caller| {
        let mut client = client.clone();
        async move {
            for number in (caller..requests).step_by(CONCURRENCY) {
                let response = generate(&mut client, prompt(number, tokens)).await;
                response.map_err(|e| anyhow::anyhow!("{}", e.status))?;
            }
            Ok(())
        }
    });
    join_all(callers).await.into_iter().collect()
}

/// Measures the memory of running streams.
async fn measure_streams() -> Result<Vec<Slope>> {
    let (mut entry_points, mut sidecar_points) = (Vec::new(), Vec::new());
    let engine = EngineSettings {
        step: Duration::from_millis(100),
        max_batch: 512,
        ..fast_engine()
    };
    for streams in STREAMS {
        let cluster = Cluster::start(fleet(1, 1, engine.clone())).await?;
        run(&cluster, 4, 2).await?;
        let (entry, sidecar) = (&cluster.entries[0], &cluster.engines[0].sidecar);
        let before = (memory_kib(entry)?, memory_kib(sidecar)?);
        let client = cluster.client(0).await?;
        for number in 0..streams {
            let mut client = client.clone();
            tokio::spawn(async move { generate(&mut client, prompt(number, 400)).await.is_ok() });
        }
        while cluster.engines[0].engine.running() < streams {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_secs(3)).await;
        entry_points.push((streams as f64, memory_kib(entry)? - before.0));
        sidecar_points.push((streams as f64, memory_kib(sidecar)? - before.1));
    }
    Ok(vec![
        Slope::new(
            "entry, memory of a running stream",
            "KiB a stream",
            entry_points,
        ),
        Slope::new(
            "sidecar, memory of a running stream",
            "KiB a stream",
            sidecar_points,
        ),
    ])
}
