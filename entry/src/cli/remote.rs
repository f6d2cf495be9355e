//! Commands that call a running entry.

use {
    anyhow::{anyhow, Context, Result},
    chalkcart_node::cli::{usage_error, ExitCode, Program},
    chalkcart_protocol::v1::{
        admin_client::AdminClient, generate_event::Event, inference_client::InferenceClient,
        reserve_request::Work, CallRequest, GenerateRequest, GetStatusRequest, PlanRequest,
        ReserveRequest, TargetStatus, WaitInForceRequest,
    },
    getopts::{Matches, Options},
    std::{
        future::Future,
        io::{self, Write},
    },
    tokio::runtime::Builder,
    tonic::transport::Channel,
};

const DEFAULT_WAIT_MS: u32 = 5_000;
const DEFAULT_MAX_TOKENS: u32 = 64;

pub fn wait_options(options: &mut Options) {
    options.optopt("", "timeout-ms", "how long to wait (5000)", "MS");
}

pub fn call_options(options: &mut Options) {
    options.optflag(
        "",
        "once",
        "reserve an id, so that the call runs at most once",
    );
}

pub fn generate_options(options: &mut Options) {
    options.optopt("", "max-tokens", "tokens at most (64)", "COUNT");
}

pub fn status(program: &Program, matches: &Matches) -> Result<ExitCode> {
    let [addr] = &matches.free[..] else {
        return Ok(usage_error(program, "expected ADDR"));
    };
    block_on(async {
        let mut admin = AdminClient::new(connect(addr).await?);
        let status = admin.get_status(GetStatusRequest {}).await?.into_inner();
        println!("{} generation {}", status.r#box, status.generation);
        println!(
            "{:<20} {:<12} {:<24} {:>8} {:>8} {:>6} {:<8}",
            "target", "zone", "role", "queued", "running", "gen", "state"
        );
        status.targets.iter().for_each(print_target);
        Ok(ExitCode::Done)
    })
}

pub fn plan(program: &Program, matches: &Matches) -> Result<ExitCode> {
    let [addr, adapter, version] = &matches.free[..] else {
        return Ok(usage_error(program, "expected ADDR ADAPTER VERSION"));
    };
    let version = version.parse().context("VERSION")?;
    block_on(async {
        let mut admin = AdminClient::new(connect(addr).await?);
        let req = PlanRequest {
            adapter: adapter.clone(),
            version,
        };
        let plan = admin.plan(req).await?.into_inner();
        for target in plan.targets {
            let loaded = if target.loaded { "loaded" } else { "" };
            println!(
                "{:<20} {:>8} ms {loaded}",
                target.r#box, target.expected_wait_ms
            );
        }
        Ok(ExitCode::Done)
    })
}

pub fn wait(program: &Program, matches: &Matches) -> Result<ExitCode> {
    let [addr, generation] = &matches.free[..] else {
        return Ok(usage_error(program, "expected ADDR GENERATION"));
    };
    let generation = generation.parse().context("GENERATION")?;
    let timeout_ms = matches.opt_get_default("timeout-ms", DEFAULT_WAIT_MS)?;
    block_on(async {
        let mut admin = AdminClient::new(connect(addr).await?);
        let req = WaitInForceRequest {
            generation,
            timeout_ms,
        };
        let response = admin.wait_in_force(req).await?.into_inner();
        if response.in_force {
            println!("generation {generation} is in force everywhere");
            return Ok(ExitCode::Done);
        }
        println!(
            "generation {generation} is missing on: {}",
            response.missing.join(" ")
        );
        Ok(ExitCode::Failed)
    })
}

pub fn call(program: &Program, matches: &Matches) -> Result<ExitCode> {
    let [addr, group, class, service, body] = &matches.free[..] else {
        return Ok(usage_error(
            program,
            "expected ADDR GROUP CLASS SERVICE BODY",
        ));
    };
    let once = matches.opt_present("once");
    block_on(async {
        let mut inference = InferenceClient::new(connect(addr).await?);
        let mut reserved_id = String::new();
        if once {
            let req = ReserveRequest {
                group: group.clone(),
                count: 1,
                work: Some(Work::Service(service.clone())),
            };
            let reserved = inference.reserve(req).await?.into_inner();
            let first_id = reserved.reserved_ids.into_iter().next();
            reserved_id = first_id.ok_or_else(|| anyhow!("no id was reserved"))?;
            eprintln!("reserved id: {reserved_id}");
        }
        let req = CallRequest {
            group: group.clone(),
            class: class.clone(),
            service: service.clone(),
            body: body.clone().into_bytes(),
            timeout_ms: 0,
            not_repeatable: once,
            reserved_id,
        };
        let response = inference.call(req).await?.into_inner();
        io::stdout().write_all(&response.body)?;
        println!();
        Ok(ExitCode::Done)
    })
}

pub fn generate(program: &Program, matches: &Matches) -> Result<ExitCode> {
    let [addr, group, class, adapter, version, prompt] = &matches.free[..] else {
        let expected = "expected ADDR GROUP CLASS ADAPTER VERSION PROMPT";
        return Ok(usage_error(program, expected));
    };
    let req = GenerateRequest {
        group: group.clone(),
        class: class.clone(),
        adapter: adapter.clone(),
        version: version.parse().context("VERSION")?,
        prompt: prompt.clone(),
        max_tokens: matches.opt_get_default("max-tokens", DEFAULT_MAX_TOKENS)?,
        ..GenerateRequest::default()
    };
    block_on(async {
        let mut inference = InferenceClient::new(connect(addr).await?);
        let mut events = inference.generate(req).await?.into_inner();
        while let Some(event) = events.message().await? {
            match event.event {
                Some(Event::Token(token)) => print!("{} ", token.text),
                Some(Event::Finished(finished)) => {
                    println!();
                    eprintln!(
                        "{} tokens by {} version {}",
                        finished.token_count, finished.adapter, finished.version
                    );
                }
                None => {}
            }
        }
        Ok(ExitCode::Done)
    })
}

fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(future)
}

async fn connect(addr: &str) -> Result<Channel> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{addr}"))?;
    let channel = endpoint.connect().await;
    channel.with_context(|| format!("cannot connect to {addr}"))
}

fn print_target(target: &TargetStatus) {
    let state = match (target.leaving, target.suspect, target.heard_ms_ago) {
        (true, _, _) => "leaving",
        (_, true, _) => "suspect",
        (_, _, None) => "unheard",
        _ => "well",
    };
    println!(
        "{:<20} {:<12} {:<24} {:>8} {:>8} {:>6} {:<8}",
        target.r#box,
        target.zone,
        target.role,
        target.queued_tokens,
        target.running,
        target.generation,
        state
    );
}
