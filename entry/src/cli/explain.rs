use {
    anyhow::{Context, Result},
    chalkcart_node::cli::{usage_error, ExitCode, Program},
    getopts::Matches,
    serde_json::{Map, Value},
    std::{
        collections::HashSet,
        fs,
        io::{self, Read},
    },
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

/// one line of a log
#[derive(Debug, Clone)]
struct Line {
    clock_ms: i64,
    fields: Map<String, Value>,
}

impl Line {
    /// read a line; what stands before its JSON is passed over
    fn read(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let clock_ms = fields.get("clock_ms")?.as_i64()?;
        Some(Self { clock_ms, fields })
    }
    fn text(&self, key: &str) -> &str {
        let value = self.fields.get(key).and_then(Value::as_str);
        value.unwrap_or_default()
    }
    /// an order about one of these adapters
    fn orders_one_of(&self, adapters: &HashSet<String>) -> bool {
        let order = self.text("order").rsplit(' ').next();
        order.is_some_and(|adapter| adapters.contains(adapter))
    }
    fn print(&self, first_ms: i64) -> String {
        let rest = self
            .fields
            .iter()
            .filter(|(key, _)| !HEAD_FIELDS.contains(&key.as_str()));
        let rest: Vec<String> = rest.map(|(key, value)| format!("{key}={value}")).collect();
        format!(
            "{:>8} ms  {:<20} {}: {}  {}",
            self.clock_ms - first_ms,
            self.text("node"),
            self.text("part"),
            self.text("message"),
            rest.join(" ")
        )
    }
}

/// tell the story of one request from the logs of many processes
pub fn run(program: &Program, matches: &Matches) -> Result<ExitCode> {
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
        println!("{}", line.print(first.clock_ms));
    }
    Ok(ExitCode::Done)
}

fn read_lines(files: &[String]) -> Result<Vec<Line>> {
    let mut text = String::new();
    if files.is_empty() {
        io::stdin()
            .read_to_string(&mut text)
            .context("read standard input")?;
    }
    for file in files {
        text.push_str(&fs::read_to_string(file).with_context(|| format!("read {file}"))?);
        text.push('\n');
    }
    Ok(text.lines().filter_map(Line::read).collect())
}

/// the request's own lines, and the orders about its adapter meanwhile.
///
/// Clocks of machines differ, so lines are kept in the order of each process;
/// processes are merged by their clocks.
fn story(request: &str, lines: &[Line]) -> Vec<Line> {
    let own: Vec<&Line> = lines
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
        .filter(|line| line.orders_one_of(&adapters) && (from..=last).contains(&line.clock_ms));
    let mut story: Vec<Line> = own.into_iter().chain(orders).cloned().collect();
    story.sort_by_key(|line| line.clock_ms);
    story
}
