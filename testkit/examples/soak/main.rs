//! Runs soak tests: a fleet with stand-ins under overlapping faults, one seed after the other.

use {
    anyhow::{ensure, Result},
    chalkcart_testkit::{
        cluster::Binaries,
        soak::{run_soak, Fault, ScheduledFault, SoakReport, SoakSettings, StreamCounts},
    },
    getopts::{Matches, Options},
    std::{env, str::FromStr, time::Duration},
};

/// Half of them serve at the begin.
const ENGINES_OF_A_RELEASE: u8 = 8;
/// Most of them have a stream at any moment.
const CLIENTS_OF_A_RELEASE: u32 = 24;

#[tokio::main]
async fn main() -> Result<()> {
    let mut opts = Options::new();
    opts.optopt("", "first", "first seed", "SEED")
        .optopt("", "seeds", "number of seeds to run", "COUNT")
        .optopt("", "span", "duration of the fault period, in s", "S")
        .optopt("", "gap", "mean time between two faults, in ms", "MS")
        .optopt("", "engines", "engines, each with its sidecar", "COUNT")
        .optopt("", "plain", "replicas of the plain service", "COUNT")
        .optopt("", "clients", "clients, each with one connection", "COUNT")
        .optflag("", "crashing", "include a request that crashes engines")
        .optflag(
            "",
            "crashing-parts",
            "include requests with a part that crashes engines",
        )
        .optflag(
            "",
            "own-words",
            "include engines that announce leaving or request back-off",
        )
        .optflag("", "limits", "include back ends that advertise rate limits")
        .optflag(
            "",
            "restores",
            "include a store that returns with an older state",
        )
        .optflag(
            "",
            "relay",
            "let entries use a relay; else with odd seeds only",
        )
        .optopt(
            "",
            "entries",
            "entries; else two to six, by the seed",
            "COUNT",
        )
        .optflag("", "resumable", "include streams that may be resumed")
        .optflag(
            "",
            "versions",
            "include engines of two software versions, and clients that take streams up",
        )
        .optflag(
            "",
            "releases",
            "include a release of another software version, during which all entries or sidecars are \
             killed at one moment; clients take streams up",
        )
        .optflag(
            "",
            "cut-heads",
            "include back ends that end connections in the heads of their responses",
        )
        .optflag(
            "",
            "unframed",
            "include streams that end with their connection",
        )
        .optflag(
            "",
            "failing-plain",
            "let plain back ends close all connections, so that entries repeat as much as they may",
        )
        .optflag(
            "",
            "crowds",
            "include crowds at one entry, which is small meanwhile",
        )
        .optflag("h", "help", "print this help");
    let matches = opts.parse(env::args().skip(1))?;
    if matches.opt_present("help") {
        print!("{}", opts.usage("soak [options]"));
        return Ok(());
    }
    let settings = settings(&matches)?;
    let seeds = number(&matches, "seeds", 1)?;
    let mut failed = 0;
    let mut streams = StreamCounts::default();
    for seed in settings.seed..settings.seed + seeds {
        let report = run_soak(&SoakSettings {
            seed,
            ..settings.clone()
        })
        .await?;
        failed += u64::from(!report.violations.is_empty());
        streams += report.streams;
        print_report(&report);
    }
    if streams.taken_up > 0 {
        println!("all seeds:");
        print_streams(&streams);
    }
    println!("{seeds} seeds, {failed} with violations");
    ensure!(failed == 0, "{failed} seeds with violations");
    Ok(())
}

fn settings(matches: &Matches) -> Result<SoakSettings> {
    let default = SoakSettings::default();
    let has_releases = matches.opt_present("releases");
    let (engines, clients) = match has_releases {
        true => (ENGINES_OF_A_RELEASE, CLIENTS_OF_A_RELEASE),
        false => (default.engines, default.clients),
    };
    Ok(SoakSettings {
        seed: number(matches, "first", default.seed)?,
        engines: number(matches, "engines", engines)?,
        plain: number(matches, "plain", default.plain)?,
        clients: number(matches, "clients", clients)?,
        entries: matches.opt_get("entries")?,
        has_crashing_requests: matches.opt_present("crashing"),
        has_crashing_parts: matches.opt_present("crashing-parts"),
        has_backend_signals: matches.opt_present("own-words"),
        has_rate_limits: matches.opt_present("limits"),
        has_store_restores: matches.opt_present("restores"),
        relays_from_engines: match matches.opt_present("relay") {
            true => Some(1),
            false => default.relays_from_engines,
        },
        has_resumable_streams: matches.opt_present("resumable"),
        has_software_versions: matches.opt_present("versions"),
        has_releases,
        has_cut_heads: matches.opt_present("cut-heads"),
        has_unframed_ends: matches.opt_present("unframed"),
        has_failing_plain: matches.opt_present("failing-plain"),
        has_crowds: matches.opt_present("crowds"),
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

fn print_streams(streams: &StreamCounts) {
    println!(
        "  streams: {} taken up, {} went on; while two engines of their version served {}, {} went on, \
         {} refused; new ones of the same time: {} of {} began",
        streams.taken_up,
        streams.went_on,
        streams.taken_up_while_served,
        streams.went_on_while_served,
        streams.refused_while_served,
        streams.new_began,
        streams.new_sent
    );
}

/// Prints what ended at one moment, and where the logs are: refused streams are no violation.
fn print_power_cuts(report: &SoakReport) {
    let is_power_cut = |f: &&ScheduledFault| matches!(f.fault, Fault::PowerCut(_));
    for cut in report.faults.iter().filter(is_power_cut) {
        print_fault(cut);
    }
    println!("  logs: {}", report.log_folder);
}

fn print_fault(scheduled: &ScheduledFault) {
    println!(
        "  {:.2} s for {:.2} s: {:?}",
        scheduled.at.as_secs_f64(),
        scheduled.duration.as_secs_f64(),
        scheduled.fault
    );
}

fn print_report(report: &SoakReport) {
    println!(
        "seed {}: {} faults, {} requests, {} served, {:?}",
        report.seed,
        report.faults.len(),
        report.requests,
        report.served,
        report.outcomes
    );
    if report.streams.taken_up > 0 {
        print_streams(&report.streams);
        print_power_cuts(report);
    }
    print_times("crashes under the part", &report.part_crashes_s);
    print_times("requests with it", &report.part_arrivals_s);
    if report.violations.is_empty() {
        return;
    }
    report.faults.iter().for_each(print_fault);
    for violation in &report.violations {
        println!("  violation: {violation}");
    }
    println!("  logs: {}", report.log_folder);
}

fn print_times(what: &str, seconds: &[f64]) {
    if !seconds.is_empty() {
        let list: Vec<String> = seconds.iter().map(|s| format!("{s:.2}")).collect();
        println!("  {what}, s: {}", list.join(" "));
    }
}
