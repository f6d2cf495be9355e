use {
    super::{
        day_causes::DayCauses,
        log_lines::{read_lines, LogLine},
    },
    anyhow::Result,
    chalkcart_node::cli::{usage_error, ExitCode, Program},
    getopts::Matches,
    std::collections::HashSet,
};

/// Fields that are printed at the start of a line or left out, not listed at its end.
const HEAD_FIELDS: &[&str] = &[
    "clock_ms",
    "uptime_ms",
    "node",
    "level",
    "part",
    "message",
    "request",
];

/// Returns whether the line is an order to load or unload one of these adapters.
fn is_order_for(line: &LogLine, adapters: &HashSet<String>) -> bool {
    let order = line.text("order").rsplit(' ').next();
    order.is_some_and(|adapter| adapters.contains(adapter))
}

fn format_line(line: &LogLine, first_ms: i64) -> String {
    let fields = line.fields.iter();
    let extra = fields.filter(|(key, _)| !HEAD_FIELDS.contains(&key.as_str()));
    let extra: Vec<String> = extra.map(|(key, value)| format!("{key}={value}")).collect();
    format!(
        "{:>8} ms  {:<20} {}: {}  {}",
        line.clock_ms - first_ms,
        line.text("node"),
        line.text("part"),
        line.text("message"),
        extra.join(" ")
    )
}

/// Explains one request, or counts the streams of a day by cause, from the logs of all
/// processes.
pub fn run(program: &Program, matches: &Matches) -> Result<ExitCode> {
    if matches.opt_present("day") {
        print!("{}", DayCauses::from_lines(&read_lines(&matches.free)?));
        return Ok(ExitCode::Done);
    }
    let Some((request, files)) = matches.free.split_first() else {
        return Ok(usage_error(program, "expected the request's ID"));
    };
    let lines = read_lines(files)?;
    let related = related_lines(request, &lines);
    let Some(first) = related.first() else {
        eprintln!("{}: no log line has the request {request}", program.name);
        return Ok(ExitCode::Failed);
    };
    println!("request {request}; times are since its first line, by each machine's own clock");
    for line in &related {
        println!("{}", format_line(line, first.clock_ms));
    }
    Ok(ExitCode::Done)
}

/// Returns the lines of a request and the orders for its adapter during that time.
///
/// Lines are sorted by the clocks of their machines, which may differ; lines of the same time
/// stay in the order of the logs.
fn related_lines(request: &str, lines: &[LogLine]) -> Vec<LogLine> {
    let own: Vec<&LogLine> = lines
        .iter()
        .filter(|l| l.text("request") == request)
        .collect();
    let adapters: HashSet<String> = own
        .iter()
        .map(|line| line.text("adapter").to_string())
        .filter(|adapter| !adapter.is_empty())
        .collect();
    let times = own.iter().map(|line| line.clock_ms);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Vec::new();
    };
    // The request may have waited for orders given before its first line was logged.
    let waited = own
        .iter()
        .filter_map(|line| line.fields.get("waited_ms")?.as_i64());
    let from = first - waited.max().unwrap_or(0);
    let orders = lines
        .iter()
        .filter(|line| is_order_for(line, &adapters) && (from..=last).contains(&line.clock_ms));
    let mut related: Vec<LogLine> = own.into_iter().chain(orders).cloned().collect();
    related.sort_by_key(|line| line.clock_ms);
    related
}
