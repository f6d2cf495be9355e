//! Measures the slopes of docs/CAPACITY.md: `cargo run --release --example capacity`.

mod decisions;
mod dispatch;
mod fit;
mod memory;
mod processes;
mod wire;

use {
    anyhow::Result,
    fit::Slope,
    getopts::Options,
    serde_json::json,
    stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM},
    std::alloc::System,
};

/// Counts the bytes that the measured structures allocate.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() -> Result<()> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "json", "write the slopes to a file as well", "FILE");
    options.optflag(
        "",
        "no-processes",
        "leave out measurements that need a fleet of processes",
    );
    let matches = options.parse(std::env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: capacity [OPTIONS]"));
        return Ok(());
    }
    let mut slopes = memory::measure()?;
    slopes.extend(decisions::measure()?);
    slopes.extend(dispatch::measure());
    slopes.extend(wire::measure()?);
    if !matches.opt_present("no-processes") {
        slopes.extend(processes::measure()?);
    }
    print_table(&slopes);
    if let Some(file) = matches.opt_str("json") {
        let rows: Vec<_> = slopes.iter().map(Slope::json).collect();
        std::fs::write(file, serde_json::to_vec_pretty(&json!({ "slopes": rows }))?)?;
    }
    Ok(())
}

fn print_table(slopes: &[Slope]) {
    println!("| what | unit | measured at | slope | base | fit |");
    println!("|---|---|---|---|---|---|");
    for slope in slopes {
        println!("{}", slope.row());
    }
}
