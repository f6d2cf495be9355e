use {
    crate::placement::EngineRun,
    std::{
        collections::{hash_map::DefaultHasher, HashMap},
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Gap between two reports above which the second one is a new start. The process may have been
/// suspended between the response and its handling, and the report be as old as the gap.
const MAX_REPORT_GAP: Duration = Duration::from_secs(1);

/// Growth of a run in its prefill above which it can't be its response alone, in tokens.
const MIN_PROMPT_GROWTH: u64 = 64;
/// Prompts that ended their prefill without visible growth, from which reports are taken to count
/// prompts in full from the start.
const MIN_PROMPTS_WITHOUT_GROWTH: u32 = 10;

/// What the runs of an engine did between two reports while it was never idle.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunProgress {
    pub elapsed: Duration,
    /// Events of a run: the mean of the runs that generated during the whole time.
    pub events: f64,
    /// Events of all these runs together.
    pub total_events: u64,
    /// Prompt tokens that appeared in the engine's memory, or of the prompts whose prefill ended if
    /// reports don't show its progress. They include the parts that the engine kept from earlier
    /// prompts, which a report doesn't tell apart.
    pub prompt_tokens: u64,
    /// Whether a run was in prefill or started.
    pub has_prefill: bool,
}

impl RunProgress {
    pub fn add(&mut self, other: Self) {
        self.elapsed += other.elapsed;
        self.events += other.events;
        self.total_events += other.total_events;
        self.prompt_tokens += other.prompt_tokens;
        self.has_prefill |= other.has_prefill;
    }
    /// Returns whether a step of the engine ended in this time.
    pub fn has_step(&self) -> bool {
        self.total_events > 0 || self.prompt_tokens > 0
    }
}

/// Compares successive reports of an engine's runs.
#[derive(Debug, Default)]
pub struct RunObserver {
    reported_at: Option<Instant>,
    /// Tokens in memory and events of each run, by a hash of its request id.
    runs: HashMap<u64, (u64, u64)>,
    /// Whether the tokens of a run were seen to grow during its prefill.
    has_seen_growth: bool,
    /// Prompts whose prefill ended without visible growth.
    prompts_without_growth: u32,
}

impl RunObserver {
    /// Returns the progress since the previous report. Returns `None` if there is none, or if no
    /// run is in both reports: the engine may then have been idle in between.
    pub fn on_report(&mut self, runs: &[EngineRun], now: Instant) -> Option<RunProgress> {
        let current: HashMap<u64, (u64, u64)> = runs
            .iter()
            .map(|run| (id_hash(&run.request_id), (run.tokens, run.events)))
            .collect();
        let before = std::mem::replace(&mut self.runs, current);
        self.observe_growth(&before);
        let reported_at = self.reported_at.replace(now)?;
        let elapsed = now.saturating_duration_since(reported_at);
        if elapsed > MAX_REPORT_GAP {
            return None;
        }
        self.progress_since(&before, elapsed)
    }

    /// Returns whether reports show which part of a prompt is prefilled. An engine may instead count
    /// a prompt in full as soon as it has reserved the memory for it.
    pub fn is_prefill_visible(&self) -> bool {
        self.has_seen_growth || self.prompts_without_growth < MIN_PROMPTS_WITHOUT_GROWTH
    }

    fn observe_growth(&mut self, before: &HashMap<u64, (u64, u64)>) {
        if self.has_seen_growth {
            return;
        }
        let in_prefill = before.iter().filter(|(_, (_, events))| *events == 0);
        for (id, (known_tokens, _)) in in_prefill {
            let Some((tokens, events)) = self.runs.get(id) else {
                continue;
            };
            self.has_seen_growth |= *tokens > known_tokens + MIN_PROMPT_GROWTH;
            self.prompts_without_growth += u32::from(*events > 0);
        }
    }

    fn progress_since(
        &self,
        before: &HashMap<u64, (u64, u64)>,
        elapsed: Duration,
    ) -> Option<RunProgress> {
        let mut progress = RunProgress {
            elapsed,
            // a run that ended in prefill
            has_prefill: before
                .iter()
                .any(|(id, (_, events))| *events == 0 && !self.runs.contains_key(id)),
            ..RunProgress::default()
        };
        let (mut is_busy, mut generating, mut first_events) = (false, 0u32, 0);
        for (id, (tokens, events)) in &self.runs {
            let (known_tokens, known_events) = match before.get(id) {
                Some(known) => {
                    is_busy = true;
                    *known
                }
                None => (0, 0),
            };
            if known_events > 0 {
                generating += 1;
                progress.total_events += events.saturating_sub(known_events);
            } else {
                progress.has_prefill = true;
                first_events = first_events.max(*events);
                progress.prompt_tokens += match self.is_prefill_visible() {
                    true => tokens.saturating_sub(known_tokens),
                    false if *events > 0 => *tokens,
                    false => 0,
                };
            }
        }
        if generating > 0 {
            progress.events = progress.total_events as f64 / f64::from(generating);
        } else if is_busy {
            // the first events after a prefill, which no other run shows
            progress.total_events = first_events;
            progress.events = first_events as f64;
        }
        is_busy.then_some(progress)
    }
}

fn id_hash(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}
