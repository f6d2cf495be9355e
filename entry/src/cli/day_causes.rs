use {
    super::log_lines::LogLine,
    std::{
        collections::{BTreeMap, HashMap},
        fmt::{self, Display, Formatter},
    },
};

/// a queue at least this long when it was chosen was seen by the entry, in ms
const QUEUE_SEEN_MS: f64 = 100.0;

/// what became of a stream, and why
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    InTime,
    /// more of its time went by before it was sent than after
    Waited,
    /// it stood behind prompts that the entry knew of
    QueueSeen,
    /// it took long at an engine that seemed free
    QueueUnseen,
    /// its first part was in time, a later one was not
    Paused,
    /// its back end broke it off
    Broken,
    /// its client left, or its time ran out, before the end
    HeldToTheEnd,
    /// it was told when to come back
    Refused,
}

/// the table's columns
const COLUMNS: [(Cause, &str); 8] = [
    (Cause::InTime, "in time"),
    (Cause::Waited, "late: waited here"),
    (Cause::QueueSeen, "late: queue seen"),
    (Cause::QueueUnseen, "late: queue unseen"),
    (Cause::Paused, "late: paused"),
    (Cause::Broken, "broken off"),
    (Cause::HeldToTheEnd, "held to the end"),
    (Cause::Refused, "refused"),
];

/// longest pause that counts as in time where the log does not say, in ms
const PAUSE_MS: f64 = 250.0;

/// streams of a day by route and cause
#[derive(Debug, Default)]
pub struct DayCauses {
    rows: BTreeMap<String, BTreeMap<Cause, u64>>,
}

impl DayCauses {
    pub fn of(lines: &[LogLine]) -> Self {
        let sent = lines.iter().filter(|line| line.is("dispatch", "sent"));
        // the last send counts
        let sends: HashMap<&str, &LogLine> = sent.map(|l| (l.text("request"), l)).collect();
        let mut causes = Self::default();
        for line in lines {
            let cause = if line.is("ingress", "stream ended") {
                sends
                    .get(line.text("request"))
                    .map(|sent| cause(line, sent))
            } else if line.is("dispatch", "refused") {
                Some(Cause::Refused)
            } else {
                None
            };
            if let Some(cause) = cause {
                causes.count(line.text("route"), cause);
            }
        }
        causes
    }

    fn count(&mut self, route: &str, cause: Cause) {
        let row = self.rows.entry(route.to_string()).or_default();
        *row.entry(cause).or_default() += 1;
    }
}

/// the one cause of how a stream ended
fn cause(ended: &LogLine, sent: &LogLine) -> Cause {
    match ended.text("outcome") {
        "broken" => return Cause::Broken,
        "whole" => {}
        _ => return Cause::HeldToTheEnd,
    }
    let number = |line: &LogLine, key| line.number(key).unwrap_or(0.0);
    let first_ms = number(ended, "first_part_ms");
    let objective_ms = ended.number("objective_ms").unwrap_or(f64::INFINITY);
    if first_ms <= objective_ms {
        return match number(ended, "longest_pause_ms") > PAUSE_MS {
            true => Cause::Paused,
            false => Cause::InTime,
        };
    }
    let waited_ms = number(sent, "waited_ms");
    if waited_ms > first_ms - waited_ms {
        return Cause::Waited;
    }
    match number(sent, "queue_ms") >= QUEUE_SEEN_MS {
        true => Cause::QueueSeen,
        false => Cause::QueueUnseen,
    }
}

/// a table in Markdown
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
