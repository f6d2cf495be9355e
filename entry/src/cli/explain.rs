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

/// fields that stand in front of each printed line
const HEAD_FIELDS: &[&str] = &[
    "clock_ms",
    "uptime_ms",
    "node",
    "level",
    "part",
    "message",
    "request",
];

/// an order about one of these adapters
fn orders_one_of(line: &LogLine, adapters: &HashSet<String>) -> bool {
    let order = line.text("order").rsplit(' ').next();
    order.is_some_and(|adapter| adapters.contains(adapter))
}

fn print(line: &LogLine, first_ms: i64) -> String {
    let fields = line.fields.iter();
    let rest = fields.filter(|(key, _)| !HEAD_FIELDS.contains(&key.as_str()));
    let rest: Vec<String> = rest.map(|(key, value)| format!("{key}={value}")).collect();
    format!(
        "{:>8} ms  {:<20} {}: {}  {}",
        line.clock_ms - first_ms,
        line.text("node"),
        line.text("part"),
        line.text("message"),
        rest.join(" ")
    )
}

/// tell the story of one request, or the causes of a whole day, from the logs of many processes
pub fn run(program: &Program, matches: &Matches) -> Result<ExitCode> {
    if matches.opt_present("day") {
        print!("{}", DayCauses::of(&read_lines(&matches.free)?));
        return Ok(ExitCode::Done);
    }
    let Some((request, files)) = matches.free.split_first() else {
        return Ok(usage_error(program, "expected the request's ID"));
    };
    let lines = read_lines(files)?;
    let story = story(request, &lines);
    let Some(first) = story.first() else {
        eprintln!("{}: no line names {request}", program.name);
        return Ok(ExitCode::Failed);
    };
    println!("request {request}; times are since its first line, by each machine's own clock");
    for line in &story {
        println!("{}", print(line, first.clock_ms));
    }
    Ok(ExitCode::Done)
}

/// the request's own lines, and the orders about its adapter meanwhile.
///
/// Clocks of machines differ, so lines are kept in the order of each process;
/// processes are merged by their clocks.
fn story(request: &str, lines: &[LogLine]) -> Vec<LogLine> {
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
    // what was waited for before the first line was written
    let waited = own
        .iter()
        .filter_map(|line| line.fields.get("waited_ms")?.as_i64());
    let from = first - waited.max().unwrap_or(0);
    let orders = lines
        .iter()
        .filter(|line| orders_one_of(line, &adapters) && (from..=last).contains(&line.clock_ms));
    let mut story: Vec<LogLine> = own.into_iter().chain(orders).cloned().collect();
    story.sort_by_key(|line| line.clock_ms);
    story
}
