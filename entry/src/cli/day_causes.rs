use {
    super::log_lines::LogLine,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::{self, Display, Formatter},
    },
};

/// Queue time from which the entry is considered to have seen a queue at the engine that it
/// selected, in milliseconds.
const MIN_SEEN_QUEUE_MS: f64 = 100.0;

/// How a stream ended, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    InTime,
    /// Late, and it waited longer at the entry than at the engine.
    Waited,
    /// Late because of an engine's queue that the entry knew of.
    QueueSeen,
    /// Late at an engine that seemed to have no queue.
    QueueUnseen,
    /// The first part was in time, but the pause before a later one was too long.
    Paused,
    /// The back end interrupted the stream.
    Broken,
    /// The client disconnected or the deadline passed before the end.
    Unfinished,
    /// The entry rejected the request.
    Rejected,
}

/// The columns of the table.
const COLUMNS: [(Cause, &str); 8] = [
    (Cause::InTime, "in time"),
    (Cause::Waited, "late: waited here"),
    (Cause::QueueSeen, "late: queue seen"),
    (Cause::QueueUnseen, "late: queue unseen"),
    (Cause::Paused, "late: paused"),
    (Cause::Broken, "broken off"),
    (Cause::Unfinished, "held to the end"),
    (Cause::Rejected, "refused"),
];

/// Longest pause within a stream that is considered in time, in milliseconds.
const MAX_PAUSE_MS: f64 = 250.0;

/// Numbers of streams by route and cause.
#[derive(Debug, Default)]
pub struct DayCauses {
    rows: BTreeMap<String, BTreeMap<Cause, u64>>,
}

impl DayCauses {
    pub fn from_lines(lines: &[LogLine]) -> Self {
        let sent = lines.iter().filter(|line| line.is("dispatch", "sent"));
        // For a request that was retried, the last send is kept.
        let sends: HashMap<&str, &LogLine> = sent.map(|l| (l.text("request"), l)).collect();
        let mut causes = Self::default();
        for line in lines {
            let cause = if line.is("ingress", "stream ended") {
                sends
                    .get(line.text("request"))
                    .map(|sent| cause(line, sent))
            } else if line.is("dispatch", "refused") {
                Some(Cause::Rejected)
            } else {
                None
            };
            if let Some(cause) = cause {
                causes.add(line.text("route"), cause);
            }
        }
        causes
    }

    fn add(&mut self, route: &str, cause: Cause) {
        let row = self.rows.entry(route.to_string()).or_default();
        *row.entry(cause).or_default() += 1;
    }
}

/// Returns how a stream ended, from the lines of its end and of its last send.
fn cause(ended: &LogLine, sent: &LogLine) -> Cause {
    match ended.text("outcome") {
        "broken" => return Cause::Broken,
        "whole" => {}
        _ => return Cause::Unfinished,
    }
    let number = |line: &LogLine, key| line.number(key).unwrap_or(0.0);
    let first_ms = number(ended, "first_part_ms");
    let objective_ms = ended.number("objective_ms").unwrap_or(f64::INFINITY);
    if first_ms <= objective_ms {
        return match number(ended, "longest_pause_ms") > MAX_PAUSE_MS {
            true => Cause::Paused,
            false => Cause::InTime,
        };
    }
    let waited_ms = number(sent, "waited_ms");
    if waited_ms > first_ms - waited_ms {
        return Cause::Waited;
    }
    match number(sent, "queue_ms") >= MIN_SEEN_QUEUE_MS {
        true => Cause::QueueSeen,
        false => Cause::QueueUnseen,
    }
}

/// Formats the counts as a Markdown table.
impl Display for DayCauses {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let names = COLUMNS.map(|(_, name)| name);
        writeln!(f, "| route | {} |", names.join(" | "))?;
        writeln!(f, "|{}", "---|".repeat(COLUMNS.len() + 1))?;
        for (route, row) in &self.rows {
            let count = |cause| row.get(&cause).copied().unwrap_or(0).to_string();
            let counts = COLUMNS.map(|(cause, _)| count(cause));
            writeln!(f, "| {route} | {} |", counts.join(" | "))?;
        }
        Ok(())
    }
}
