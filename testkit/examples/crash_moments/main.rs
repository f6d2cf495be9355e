//! Parts of prompts that crash engines, over processes: a row for each moment of the crash, number of
//! causes, rate of requests and disturbance.

mod cases;

use {
    anyhow::Result,
    cases::{cases, Case},
    chalkcart_testkit::crashing_parts::{run, Outcome},
    getopts::Options,
    std::sync::Arc,
    tokio::sync::Semaphore,
};

#[tokio::main]
async fn main() -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this and exit");
    options.optopt("", "at-once", "cases that run at once (4)", "N");
    options.optopt("", "only", "cases whose name contains this", "TEXT");
    options.optopt("", "repeat", "times that each case is run (1)", "N");
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: crash_moments [OPTIONS]"));
        return Ok(());
    }
    let permits = Arc::new(Semaphore::new(matches.opt_get_default("at-once", 4)?));
    let only = matches.opt_str("only").unwrap_or_default();
    let repeat: usize = matches.opt_get_default("repeat", 1)?;
    println!(
        "| case | late, of each cause | arrived | crashes | sound blocked | begun before, after |"
    );
    println!("|---|---|---|---|---|---|");
    let named = cases().into_iter().filter(|case| case.name.contains(&only));
    let runs = named.flat_map(|case| std::iter::repeat_n(case, repeat));
    let tasks = runs.map(|case| {
        let permits = permits.clone();
        tokio::spawn(async move {
            let _permit = permits.acquire_owned().await?;
            run_case(case).await
        })
    });
    for task in tasks.collect::<Vec<_>>() {
        task.await??;
    }
    Ok(())
}

async fn run_case(Case { name, settings }: Case) -> Result<()> {
    let Outcome {
        parts,
        crashes,
        sound,
        sound_blocked,
        begun_before,
        begun_after,
    } = run(settings).await?;
    let texts = |values: Vec<usize>| {
        let texts = values.iter().map(ToString::to_string);
        texts.collect::<Vec<String>>().join(", ")
    };
    let late = texts(parts.iter().map(|part| part.late).collect());
    let arrived = texts(parts.iter().map(|part| part.arrived).collect());
    println!(
        "| {name} | {late} | {arrived} | {crashes} | {sound_blocked} of {sound} | {begun_before:.2}, {begun_after:.2} |"
    );
    Ok(())
}
