//! plays soaks: a fleet among stand-ins under faults that overlap, seed after seed

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        cluster::Binaries,
        soak::{run_soak, SoakReport, SoakSettings},
    },
    getopts::{Matches, Options},
    std::{env, str::FromStr, time::Duration},
};

#[tokio::main]
async fn main() -> Result<()> {
    let mut opts = Options::new();
    opts.optopt("", "first", "the first seed", "SEED")
        .optopt("", "seeds", "seeds to play", "COUNT")
        .optopt("", "span", "time during which faults strike, in s", "S")
        .optopt("", "gap", "mean time between two faults, in ms", "MS")
        .optopt("", "engines", "engines, each with its sidecar", "COUNT")
        .optopt("", "plain", "copies of the plain service", "COUNT")
        .optopt("", "clients", "clients, each with one connection", "COUNT")
        .optflag("", "crashing", "with a request that ends engines")
        .optflag(
            "",
            "own-words",
            "with engines that say that they leave or want rest",
        )
        .optflag(
            "",
            "limits",
            "with back ends that name how many requests they take",
        )
        .optflag("h", "help", "what can be set");
    let matches = opts.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", opts.usage("soak [options]"));
        return Ok(());
    }
    let settings = settings(&matches)?;
    let seeds = number(&matches, "seeds", 1)?;
    let mut failed = 0;
    for seed in settings.seed..settings.seed + seeds {
        let report = run_soak(&SoakSettings {
            seed,
            ..settings.clone()
        })
        .await?;
        failed += u64::from(!report.violations.is_empty());
        print(&report);
    }
    println!("{seeds} seeds, {failed} with a promise that was not kept");
    ensure!(failed == 0, "promises were not kept");
    Ok(())
}

fn settings(matches: &Matches) -> Result<SoakSettings> {
    let default = SoakSettings::default();
    Ok(SoakSettings {
        seed: number(matches, "first", default.seed)?,
        engines: number(matches, "engines", default.engines)?,
        plain: number(matches, "plain", default.plain)?,
        clients: number(matches, "clients", default.clients)?,
        crashing_requests: matches.opt_present("crashing"),
        backend_signals: matches.opt_present("own-words"),
        rate_limits: matches.opt_present("limits"),
        other_build: Binaries::from_other_build(),
        fault_period: Duration::from_secs(number(matches, "span", default.fault_period.as_secs())?),
        mean_fault_interval: Duration::from_millis(number(
            matches,
            "gap",
            default.mean_fault_interval.as_millis() as u64,
        )?),
    })
}

fn number<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T>
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Ok(matches.opt_get_default(name, default)?)
}

fn print(report: &SoakReport) {
    println!(
        "seed {}: {} faults, {} asked, {} served, {:?}",
        report.seed,
        report.faults.len(),
        report.requests,
        report.served,
        report.outcomes
    );
    if report.violations.is_empty() {
        return;
    }
    for planned in &report.faults {
        println!(
            "  {:.2} s for {:.2} s: {:?}",
            planned.at.as_secs_f64(),
            planned.duration.as_secs_f64(),
            planned.fault
        );
    }
    for violation in &report.violations {
        println!("  NOT KEPT: {violation}");
    }
    println!("  logs: {}", report.log_folder);
}
